package io.tarragonport.core.gateway.fleet

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.VmId
import io.tarragonport.core.gateway.balance.ServerLoad
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Adds up what all VMs have at the backend servers, so that VMs which see a small part of the traffic do not all choose
 * the same busy server.
 *
 * Reports go along a [RelayPlan]. What was heard longer than [FRESH_FOR] ago counts no more. A VM without load sends
 * nothing, beyond one report that says so.
 */
class LoadExchange(
    private val self: VmId,
    private val clock: TimeSource.WithComparableMarks,
) {
    private class Heard(
        val loads: Map<BackendServerId, ServerLoad>,
        val at: ComparableTimeMark,
    )

    private var plan = RelayPlan(self, emptyList())
    private val reports = HashMap<VmId, Heard>()
    private var receiveAggregate: Heard? = null
    private var silent = emptySet<VmId>()

    /** Takes the VMs that live now. */
    fun updatePeers(live: Collection<VmId>) {
        plan = RelayPlan(self, live)
        reports.keys.retainAll((plan.members + plan.receivers).toSet())
        if (plan.relaysHere) receiveAggregate = null
    }

    /** Takes what [from] has at servers, with that of the VMs which report to it. */
    fun receiveReport(
        from: VmId,
        loads: Map<BackendServerId, ServerLoad>,
    ) {
        reports[from] = Heard(loads, clock.markNow())
    }

    /** Takes what all VMs but this one have, as a relay says. */
    fun receiveAggregate(loads: Map<BackendServerId, ServerLoad>) {
        receiveAggregate = Heard(loads, clock.markNow())
    }

    /** What all other VMs have at servers. */
    fun others(): Map<BackendServerId, ServerLoad> =
        if (plan.relaysHere) sum(fresh().map { it.value }) else receiveAggregate?.takeIf(::isFresh)?.loads.orEmpty()

    /** What is to be sent when this VM has [own] at servers. */
    fun outgoing(own: Map<BackendServerId, ServerLoad>): List<LoadMessage> {
        val heard = fresh()
        val group = sum(heard.filterKeys { it in plan.members }.values + listOf(own))
        val messages =
            plan.receivers.map { LoadMessage(it, ofOthers = false, group) } +
                plan.members.map { member ->
                    LoadMessage(member, ofOthers = true, sum((heard - member).values + listOf(own)))
                }
        val idle = messages.filter { it.loads.isEmpty() }.map { it.receiver }.toSet()
        return messages.filter { it.receiver !in idle || it.receiver !in silent }.also { silent = idle }
    }

    private fun fresh(): Map<VmId, Map<BackendServerId, ServerLoad>> =
        reports.filterValues(::isFresh).mapValues { it.value.loads }

    private fun isFresh(heard: Heard): Boolean = heard.at.elapsedNow() < FRESH_FOR

    private fun sum(loads: Collection<Map<BackendServerId, ServerLoad>>): Map<BackendServerId, ServerLoad> {
        val total = HashMap<BackendServerId, ServerLoad>()
        loads.forEach { part -> part.forEach { (server, load) -> total.merge(server, load, ServerLoad::plus) } }
        return total
    }

    companion object {
        /** Three reports of the largest fleet. */
        val FRESH_FOR: Duration = 4.seconds
    }
}
