package io.tarragonport.core.limit

import io.tarragonport.api.configuration.Limit
import io.tarragonport.api.id.VmId
import io.tarragonport.api.peer.LimitDemand
import io.tarragonport.api.peer.LimitGrant
import kotlin.math.roundToInt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Divides limits among VMs in proportion to their demand, for the organisations whose aggregator this VM is.
 *
 * A new aggregator grants nothing during [WARM_UP], because not all VMs have reported to it yet; they keep the shares
 * granted by its predecessor. The shares that silent VMs may still use are reserved. Far below a limit each VM gets its
 * demand and an equal part of the remainder. When the demand approaches the limit, all VMs need exact shares at once,
 * and [takeUnsolicitedGrants] returns them for the VMs that did not report.
 */
class LimitAggregator(
    private val timeSource: TimeSource,
    private val limitOf: (LimitSubject) -> Limit? = { null },
) {
    private val aggregatedLimits = HashMap<LimitSubject, AggregatedLimit>()
    private val unsolicitedGrants = HashMap<VmId, MutableList<LimitGrant>>()

    /** Processes the report of [from] and returns its shares; empty during the warm-up. */
    fun report(
        from: VmId,
        entries: List<LimitDemand>,
        fleet: FleetSize,
    ): List<LimitGrant> =
        entries.mapNotNull { entry ->
            val key = LimitSubject(entry.organisation, entry.key)
            val aggregated = aggregatedLimits.getOrPut(key) { AggregatedLimit(timeSource) }
            val reportingVm = aggregated.reportingVms.getOrPut(from) { ReportingVm(timeSource, entry) }
            reportingVm.report(entry)
            if (aggregated.warmingUp) null else update(from, key, aggregated, fleet)
        }

    /** Returns and clears the grants for VMs that did not report, which are due because a limit was approached. */
    fun takeUnsolicitedGrants(): Map<VmId, List<LimitGrant>> =
        HashMap<VmId, List<LimitGrant>>(unsolicitedGrants).also {
            unsolicitedGrants.clear()
        }

    /** Removes VMs that have not reported for the expiry time, and limits without VMs. */
    fun expire() {
        aggregatedLimits.values.forEach { aggregated ->
            val expiry = if (aggregated.distant) LocalLimit.DISTANT_IDLE_AFTER else EXPIRY
            aggregated.reportingVms.values.removeIf { minOf(it.age, aggregated.nearDuration) >= expiry }
        }
        aggregatedLimits.values.removeIf { it.reportingVms.isEmpty() }
    }

    /** Removes [vm], which has announced that it leaves and no longer uses its shares. */
    fun removeVm(vm: VmId) = aggregatedLimits.values.forEach { it.reportingVms.remove(vm) }

    private fun update(
        from: VmId,
        key: LimitSubject,
        aggregated: AggregatedLimit,
        fleet: FleetSize,
    ): LimitGrant {
        val limit = limitOf(key)
        if (aggregated.update(limit, fleet)) {
            (aggregated.reportingVms - from).forEach { (vm, reportingVm) ->
                unsolicitedGrants.getOrPut(vm) { mutableListOf() } += grant(key, aggregated, reportingVm, fleet, limit)
            }
        }
        return grant(key, aggregated, aggregated.reportingVms.getValue(from), fleet, limit)
    }

    private fun grant(
        key: LimitSubject,
        aggregated: AggregatedLimit,
        reportingVm: ReportingVm,
        fleet: FleetSize,
        limit: Limit?,
    ): LimitGrant {
        val active = aggregated.active()
        if (aggregated.distant) {
            reportingVm.requestShare =
                approximateShare(active, reportingVm, fleet, limit?.requestsPerMinute) { it.requests.toDouble() }
            reportingVm.tokenShare =
                approximateShare(active, reportingVm, fleet, limit?.tokensPerMinute) { it.tokens.toDouble() }
        } else {
            reportingVm.requestShare =
                exactShare(aggregated, active, reportingVm, fleet, { it.requestShare }) { it.requests.toDouble() }
            reportingVm.tokenShare =
                exactShare(aggregated, active, reportingVm, fleet, { it.tokenShare }) { it.tokens.toDouble() }
        }
        val requests = millionths(reportingVm.requestShare)
        return LimitGrant(key.organisation, key.key, requests, millionths(reportingVm.tokenShare), aggregated.distant)
    }

    /**
     * The VM's demand and an equal part of what the reported demand leaves of [limit]; the shares add up to the limit.
     */
    private fun approximateShare(
        active: List<ReportingVm>,
        reportingVm: ReportingVm,
        fleet: FleetSize,
        limit: Long?,
        demand: (LimitDemand) -> Double,
    ): Double {
        if (limit == null || limit <= 0) return fleet.equalShare
        val remaining = 1 - active.sumOf { demand(it.demand) } / limit
        return demand(reportingVm.demand) / limit + remaining * fleet.equalShare
    }

    /** A share of what is not reserved for silent VMs, proportional to the demand except for [EQUAL_PART]. */
    private fun exactShare(
        aggregated: AggregatedLimit,
        active: List<ReportingVm>,
        reportingVm: ReportingVm,
        fleet: FleetSize,
        granted: (ReportingVm) -> Double,
        demand: (LimitDemand) -> Double,
    ): Double {
        val total = active.sumOf { demand(it.demand) }
        val proportional = if (total > 0) demand(reportingVm.demand) / total else 1.0 / active.size
        val available = 1 - reserveForSilent(aggregated, fleet, granted)
        return available * (EQUAL_PART / active.size + (1 - EQUAL_PART) * proportional)
    }

    /**
     * The share that silent VMs may use: the sum of their decaying shares, but at least the reserve for lost VMs. Only
     * half of its share is reserved for a single silent VM, which is as likely stopped as partitioned.
     */
    private fun reserveForSilent(
        aggregated: AggregatedLimit,
        fleet: FleetSize,
        granted: (ReportingVm) -> Double,
    ): Double {
        val silent =
            aggregated.reportingVms.values.filter {
                it.silence(aggregated.nearDuration) in ShareDecay.GRACE..DECAYED_AFTER
            }
        val decaying = silent.sumOf { ShareDecay.share(granted(it), 0.0, it.silence(aggregated.nearDuration)) }
        val reserveFactor = if (silent.size == 1) SINGLE_SILENT_FACTOR else 1.0
        return maxOf(reserveFactor * decaying, fleet.reserve).coerceAtMost(1 - fleet.fallbackShare)
    }

    private fun millionths(share: Double): Int = (share * LimitGrant.FULL_SHARE).roundToInt()

    companion object {
        /** Longer than the report interval, so that every VM has reported to a new aggregator. */
        val WARM_UP: Duration = 1_300.milliseconds

        /** Part of a limit that is divided equally, so that the first callers of a VM need not wait for a report. */
        const val EQUAL_PART = 0.02

        /** Reserving the full share of a busy VM that has stopped admitted 12% too little in the next minute. */
        private const val SINGLE_SILENT_FACTOR = 0.5

        /** Silence after which the share of a VM has decayed completely. */
        private val DECAYED_AFTER = ShareDecay.GRACE + ShareDecay.DECAY_TIME
        private val EXPIRY = 30.seconds
    }
}
