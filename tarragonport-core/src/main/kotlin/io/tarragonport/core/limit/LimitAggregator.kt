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
 * demand and an equal part of the remainder; when the demand approaches the limit, [takeUnsolicitedGrants] returns
 * grants for the VMs that did not report.
 */
class LimitAggregator(
    private val timeSource: TimeSource,
    private val limitOf: (LimitSubject) -> Limit? = { null },
) {
    private val aggregatedLimits = HashMap<LimitSubject, AggregatedLimit>()
    private val unrequested = HashMap<VmId, MutableList<LimitGrant>>()

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

    /** Returns and clears the grants for VMs that sent no report, made because an organisation approached its limit. */
    fun takeUnsolicitedGrants(): Map<VmId, List<LimitGrant>> =
        HashMap<VmId, List<LimitGrant>>(unrequested).also {
            unrequested.clear()
        }

    /** Removes VMs that have not reported for long, and limits without any VM. */
    fun expire() {
        aggregatedLimits.values.forEach { aggregated ->
            val expiry = if (aggregated.distant) LocalLimit.DISTANT_IDLE_AFTER else EXPIRY
            aggregated.reportingVms.values.removeIf { minOf(it.age, aggregated.nearFor) >= expiry }
        }
        aggregatedLimits.values.removeIf { it.reportingVms.isEmpty() }
    }

    /** Removes [vm], which announced that it leaves and no longer uses its shares. */
    fun left(vm: VmId) = aggregatedLimits.values.forEach { it.reportingVms.remove(vm) }

    private fun update(
        from: VmId,
        key: LimitSubject,
        aggregated: AggregatedLimit,
        fleet: FleetSize,
    ): LimitGrant {
        val limit = limitOf(key)
        if (aggregated.update(limit, fleet)) {
            (aggregated.reportingVms - from).forEach { (vm, reportingVm) ->
                unrequested.getOrPut(vm) { mutableListOf() } += grant(key, aggregated, reportingVm, fleet, limit)
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
                share(aggregated, active, reportingVm, fleet, { it.requestShare }) { it.requests.toDouble() }
            reportingVm.tokenShare =
                share(aggregated, active, reportingVm, fleet, { it.tokenShare }) { it.tokens.toDouble() }
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

    private fun share(
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
     * The share that silent VMs may use: their decaying shares, but at least the reserve for lost VMs. For a single
     * silent VM, which is as likely stopped as partitioned, half of its share is reserved.
     */
    private fun reserveForSilent(
        aggregated: AggregatedLimit,
        fleet: FleetSize,
        granted: (ReportingVm) -> Double,
    ): Double {
        val silent =
            aggregated.reportingVms.values.filter {
                it.silence(aggregated.nearFor) in ShareDecay.GRACE..UNCERTAIN_UNTIL
            }
        val decaying = silent.sumOf { ShareDecay.share(granted(it), 0.0, it.silence(aggregated.nearFor)) }
        val part = if (silent.size == 1) SINGLE_SILENT_PART else 1.0
        return maxOf(part * decaying, fleet.reserve).coerceAtMost(1 - fleet.fallbackShare)
    }

    private fun millionths(share: Double): Int = (share * LimitGrant.FULL_SHARE).roundToInt()

    companion object {
        /** Longer than the report interval, so that every VM has reported to a new aggregator. */
        val WARM_UP: Duration = 1_300.milliseconds

        /** Part of a limit that is divided equally, so that the first callers of a VM need not wait for a report. */
        const val EQUAL_PART = 0.02

        /** Reserving the full share of a busy VM that has stopped admitted 12% too little in the next minute. */
        private const val SINGLE_SILENT_PART = 0.5

        private val UNCERTAIN_UNTIL = ShareDecay.GRACE + ShareDecay.DECAY_TIME
        private val EXPIRY = 30.seconds
    }
}
