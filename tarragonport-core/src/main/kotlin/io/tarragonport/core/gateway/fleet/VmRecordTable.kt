package io.tarragonport.core.gateway.fleet

import io.tarragonport.api.id.FencingToken
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.ServiceId
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * The records of all VMs with the time of their last observed change.
 *
 * A VM is live if its record changed within [LIVE_INTERVALS] times the interval in that record. The time of a change is
 * taken from the clock of this VM, because the clocks of VMs differ. Usage counts remain valid after their VM has
 * ended.
 */
class VmRecordTable(
    private val clock: TimeSource.WithComparableMarks,
) {
    private class ObservedRecord(
        val record: VmRecord,
        val changedAt: ComparableTimeMark,
    ) {
        val interval get() = record.nextInMs.milliseconds
    }

    private val byName = mutableMapOf<String, ObservedRecord>()

    /** Replaces the records, given by object name. */
    fun update(records: Map<String, VmRecord>) {
        val now = clock.markNow()
        byName.keys.retainAll(records.keys)
        records.forEach { (name, record) ->
            if (byName[name]?.record?.heartbeat != record.heartbeat) byName[name] = ObservedRecord(record, now)
        }
    }

    /** Records of live VMs, the latest incarnation of each. */
    fun live(): List<VmRecord> =
        byName.values
            .filter { it.changedAt.elapsedNow() < it.interval * LIVE_INTERVALS }
            .map { it.record }
            .groupBy { it.vm }
            .map { (_, records) -> records.maxBy { it.incarnation } }

    /** The longest record interval among live VMs. */
    fun longestInterval(): Duration = live().maxOfOrNull { it.nextInMs.milliseconds } ?: FleetIntervals.RECORD_INTERVAL

    /** Names of records without a change for [RETENTION], whose usage windows are closed. */
    fun expiredNames(): List<String> = byName.filterValues { it.changedAt.elapsedNow() >= RETENTION }.keys.toList()

    /** Number of requests by organisation that started in [window] on any VM. */
    fun usage(window: Long): Map<OrganisationId, Long> {
        val totals = mutableMapOf<OrganisationId, Long>()
        byName.values.forEach { observed ->
            observed.record.windows[window]?.forEach { (organisation, count) ->
                totals.merge(organisation, count, Long::plus)
            }
        }
        return totals
    }

    /** Records of all VMs, also of those that have ended. */
    fun records(): List<VmRecord> = byName.values.map { it.record }

    /** The highest fencing token known to any VM. */
    fun highestToken(): FencingToken = byName.values.maxOfOrNull { it.record.highestToken } ?: FencingToken(0)

    /** Total load of all live VMs on [service]. */
    fun demand(service: ServiceId): ServiceDemand =
        live().mapNotNull { it.demand[service] }.fold(ServiceDemand.NONE, ServiceDemand::plus)

    companion object {
        /** Allows for two lost writes and a late third one. */
        const val LIVE_INTERVALS = 3.25

        /** Longer than a usage window can stay open. */
        val RETENTION: Duration = 45.seconds
    }
}
