package io.tarragonport.core.limit

import io.tarragonport.api.configuration.Limit
import io.tarragonport.api.id.VmId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * One limit at its aggregator, with the VMs that use it.
 *
 * The limit is distant while the reported demand is below [NEAR] of it. VMs then report only when their demand has
 * grown by half of the unused part of their share, so that unreported demand stays below half of the limit. Lost VMs
 * count with their equal shares.
 */
internal class AggregatedLimit(
    private val timeSource: TimeSource,
) {
    private val since: TimeMark = timeSource.markNow()
    private var nearSince: TimeMark? = null

    val reportingVms = HashMap<VmId, ReportingVm>()

    var distant = false
        private set

    /** True until every VM has had time to report. */
    val warmingUp: Boolean get() = since.elapsedNow() < LimitAggregator.WARM_UP

    /** How long every VM has been expected to report at the short interval; infinite if always. */
    val nearFor: Duration get() = nearSince?.elapsedNow() ?: Duration.INFINITE

    /** VMs whose demand counts towards the limit. */
    fun active(): List<ReportingVm> = reportingVms.values.filter { distant || it.silence(nearFor) < ShareDecay.GRACE }

    /** Re-evaluates [distant]; returns true if exact shares are needed from now on and were not before. */
    fun update(
        limit: Limit?,
        fleet: FleetSize,
    ): Boolean {
        val before = distant
        val part = part(limit) + fleet.lost * fleet.equalShare
        distant = if (distant) part < NEAR else part < DISTANT && nearFor >= SHORTEST_NEAR
        val approached = before && !distant
        if (approached) nearSince = timeSource.markNow()
        return approached
    }

    /**
     * Reported demand as a part of [limit], the larger of requests and tokens; infinite without a limit. Includes
     * silent VMs: a partitioned aggregator that counted only itself considered a busy organisation distant and admitted
     * 17% too much.
     */
    private fun part(limit: Limit?): Double {
        val known = reportingVms.values
        val requests = limit?.requestsPerMinute?.let { known.sumOf { it.demand.requests }.toDouble() / it }
        val tokens = limit?.tokensPerMinute?.let { known.sumOf { it.demand.tokens }.toDouble() / it }
        return listOfNotNull(requests, tokens).maxOrNull() ?: Double.POSITIVE_INFINITY
    }

    companion object {
        /** Part of the limit at and above which shares are exact. */
        const val NEAR = 0.4

        /** Part of the limit below which shares need no longer be exact. */
        const val DISTANT = 0.25

        private val SHORTEST_NEAR = 5.seconds
    }
}
