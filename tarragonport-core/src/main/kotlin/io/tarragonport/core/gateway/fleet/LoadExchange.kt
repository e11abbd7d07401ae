package io.tarragonport.core.gateway.fleet

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.VmId
import io.tarragonport.core.gateway.balance.ServerLoad
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Aggregates the load that all VMs put on each backend server. Without it, VMs that each see only a small part of the
 * traffic would all choose the same busy server.
 *
 * Reports are sent along a [RelayPlan] and expire after [REPORT_LIFETIME]. A VM without load sends one empty report and
 * then nothing until it has load again.
 */
class LoadExchange(
    private val self: VmId,
    private val clock: TimeSource.WithComparableMarks,
) {
    private class ReceivedLoads(
        val loads: Map<BackendServerId, ServerLoad>,
        val receivedAt: ComparableTimeMark,
    )

    private var peers = emptySet<VmId>()
    private var plan = RelayPlan(self, peers)
    private val reports = HashMap<VmId, ReceivedLoads>()
    private var aggregate: ReceivedLoads? = null
    private var idleReceivers = emptySet<VmId>()

    /** Sets the VMs that are live now. */
    fun updatePeers(live: Collection<VmId>) {
        val current = live.toSet()
        if (current == peers) return
        peers = current
        plan = RelayPlan(self, current)
        reports.keys.retainAll((plan.members + plan.receivers).toSet())
        if (plan.isRelay) aggregate = null
    }

    /** Applies a report of [from] with its load and that of the VMs that report to it. */
    fun receiveReport(
        from: VmId,
        loads: Map<BackendServerId, ServerLoad>,
    ) {
        reports[from] = ReceivedLoads(loads, clock.markNow())
    }

    /** Applies an aggregate sent by a relay, with the load of all VMs except this one. */
    fun receiveAggregate(loads: Map<BackendServerId, ServerLoad>) {
        aggregate = ReceivedLoads(loads, clock.markNow())
    }

    /** Load of all other VMs on each server. */
    fun otherVmLoads(): Map<BackendServerId, ServerLoad> =
        if (plan.isRelay) sum(fresh().map { it.value }) else aggregate?.takeIf(::isFresh)?.loads.orEmpty()

    /** Messages to send when the load of this VM is [localLoads]. */
    fun outgoing(localLoads: Map<BackendServerId, ServerLoad>): List<LoadMessage> {
        val received = fresh()
        val group = sum(received.filterKeys { it in plan.members }.values + listOf(localLoads))
        val messages =
            plan.receivers.map { LoadMessage(it, isAggregate = false, group) } +
                plan.members.map { member ->
                    LoadMessage(member, isAggregate = true, sum((received - member).values + listOf(localLoads)))
                }
        val idle = messages.filter { it.loads.isEmpty() }.map { it.receiver }.toSet()
        return messages.filter { it.receiver !in idle || it.receiver !in idleReceivers }.also { idleReceivers = idle }
    }

    private fun fresh(): Map<VmId, Map<BackendServerId, ServerLoad>> =
        reports.filterValues(::isFresh).mapValues { it.value.loads }

    private fun isFresh(report: ReceivedLoads): Boolean = report.receivedAt.elapsedNow() < REPORT_LIFETIME

    private fun sum(loads: Collection<Map<BackendServerId, ServerLoad>>): Map<BackendServerId, ServerLoad> {
        val total = HashMap<BackendServerId, ServerLoad>()
        loads.forEach { report -> report.forEach { (server, load) -> total.merge(server, load, ServerLoad::plus) } }
        return total
    }

    companion object {
        /** Three report intervals in the largest fleet. */
        val REPORT_LIFETIME: Duration = 4.seconds
    }
}
