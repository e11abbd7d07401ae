package io.tarragonport.core.gateway.fleet

import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.ServiceId
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * The VMs as their records show them.
 *
 * A record that changed within [LIVE_INTERVALS] of its own interval belongs to a live VM; only the observer's clock is
 * read, because clocks of different VMs differ. Counts of usage stay valid after their VM has ended.
 */
class VmRecordTable(
    private val clock: TimeSource.WithComparableMarks,
) {
    private class Seen(
        val record: VmRecord,
        val since: ComparableTimeMark,
    ) {
        val interval get() = record.nextInMs.milliseconds
    }

    private val byName = mutableMapOf<String, Seen>()

    /** Takes all records by object name. */
    fun update(records: Map<String, VmRecord>) {
        val now = clock.markNow()
        byName.keys.retainAll(records.keys)
        records.forEach { (name, record) ->
            if (byName[name]?.record?.beat != record.beat) byName[name] = Seen(record, now)
        }
    }

    /** Records of live VMs, the newest incarnation of each. */
    fun live(): List<VmRecord> =
        byName.values
            .filter { it.since.elapsedNow() < it.interval * LIVE_INTERVALS }
            .map { it.record }
            .groupBy { it.vm }
            .map { (_, records) -> records.maxBy { it.incarnation } }

    /** The longest time between two records of a live VM. */
    fun longestInterval(): Duration = live().maxOfOrNull { it.nextInMs.milliseconds } ?: FleetIntervals.RECORD_INTERVAL

    /** Names of records that have not changed for [KEPT_FOR]: their windows are closed. */
    fun unchangedNames(): List<String> = byName.filterValues { it.since.elapsedNow() >= KEPT_FOR }.keys.toList()

    /** Requests of all VMs that began to run in [window]. */
    fun usage(window: Long): Map<OrganisationId, Long> {
        val totals = mutableMapOf<OrganisationId, Long>()
        byName.values.forEach { seen ->
            seen.record.windows[window]?.forEach { (organisation, count) ->
                totals.merge(organisation, count, Long::plus)
            }
        }
        return totals
    }

    /** Load of all live VMs on [service]. */
    fun demand(service: ServiceId): ServiceDemand =
        live().mapNotNull { it.demand[service] }.fold(ServiceDemand.NONE, ServiceDemand::plus)

    companion object {
        /** Two records may be lost, and the third be late. */
        const val LIVE_INTERVALS = 3.25

        /** Longer than a window may stay open. */
        val KEPT_FOR: Duration = 45.seconds
    }
}
