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
 * The limit is distant while the reported demand is below [NEAR_SHARE] of it. VMs then report only when their demand
 * has grown by half of the unused part of their share, so that unreported demand stays below half of the limit. Lost
 * VMs count with their equal shares.
 */
internal class AggregatedLimit(
    private val timeSource: TimeSource,
) {
    private val createdAt: TimeMark = timeSource.markNow()
    private var nearSince: TimeMark? = null

    val reportingVms = HashMap<VmId, ReportingVm>()

    var distant = false
        private set

    /** True until every VM has had time to report. */
    val warmingUp: Boolean get() = createdAt.elapsedNow() < LimitAggregator.WARM_UP

    /** Time since the limit was last approached, from when on every VM has to report regularly; infinite if never. */
    val nearDuration: Duration get() = nearSince?.elapsedNow() ?: Duration.INFINITE

    /** VMs whose demand counts towards the limit. */
    fun active(): List<ReportingVm> =
        reportingVms.values.filter {
            distant || it.silence(nearDuration) < ShareDecay.GRACE
        }

    /** Re-evaluates [distant]; returns true if it changes from true to false, so that exact shares become necessary. */
    fun update(
        limit: Limit?,
        fleet: FleetSize,
    ): Boolean {
        val wasDistant = distant
        val expectedShare = demandShare(limit) + fleet.lost * fleet.equalShare
        distant =
            if (distant) expectedShare < NEAR_SHARE else expectedShare < DISTANT_SHARE && nearDuration >= SHORTEST_NEAR
        val approached = wasDistant && !distant
        if (approached) nearSince = timeSource.markNow()
        return approached
    }

    /**
     * Reported demand divided by [limit], for requests or tokens, whichever is larger; infinite without a limit. Silent
     * VMs are included, because a partitioned aggregator that counted only itself considered the limit of a busy
     * organisation distant and admitted 17% too much.
     */
    private fun demandShare(limit: Limit?): Double {
        val vms = reportingVms.values
        val requests = limit?.requestsPerMinute?.let { vms.sumOf { it.demand.requests }.toDouble() / it }
        val tokens = limit?.tokensPerMinute?.let { vms.sumOf { it.demand.tokens }.toDouble() / it }
        return listOfNotNull(requests, tokens).maxOrNull() ?: Double.POSITIVE_INFINITY
    }

    companion object {
        /** Demand divided by the limit at and above which the limit is no longer distant, so that shares are exact. */
        const val NEAR_SHARE = 0.4

        /** Demand divided by the limit below which the limit becomes distant. */
        const val DISTANT_SHARE = 0.25

        /** Shortest time between an approach to the limit and the next time that it is distant. */
        private val SHORTEST_NEAR = 5.seconds
    }
}
