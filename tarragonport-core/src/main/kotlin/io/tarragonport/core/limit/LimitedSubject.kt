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
 * It is distant while the known demand is below [NEAR] of the limit. VMs then report only when their demand has grown by
 * half of what their share has left, so that demand that is not known stays below half of the limit. Lost VMs count with
 * their equal shares.
 */
internal class LimitedSubject(
    private val timeSource: TimeSource,
) {
    private val since: TimeMark = timeSource.markNow()
    private var nearSince: TimeMark? = null

    val reporters = HashMap<VmId, Reporter>()

    var distant = false
        private set

    /** True while not every VM has had the time to report. */
    val warmingUp: Boolean get() = since.elapsedNow() < LimitAggregator.WARM_UP

    /** How long reports at the short interval have been expected of every VM; infinite if always. */
    val nearFor: Duration get() = nearSince?.elapsedNow() ?: Duration.INFINITE

    /** VMs whose demand counts. */
    fun active(): List<Reporter> = reporters.values.filter { distant || it.silence(nearFor) < ShareDecay.GRACE }

    /** Takes the known demand into account; true if exact shares are needed from now on and were not before. */
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
     * Known demand as a part of [limit], the larger of requests and tokens; infinite without a limit. Includes silent VMs:
     * a cut-off aggregator that counted only itself took a busy organisation for a distant one and admitted 17% too much.
     */
    private fun part(limit: Limit?): Double {
        val known = reporters.values
        val requests = limit?.requestsPerMinute?.let { known.sumOf { it.demand.requests }.toDouble() / it }
        val tokens = limit?.tokensPerMinute?.let { known.sumOf { it.demand.tokens }.toDouble() / it }
        return listOfNotNull(requests, tokens).maxOrNull() ?: Double.POSITIVE_INFINITY
    }

    companion object {
        /** Part of the limit from which on shares are exact. */
        const val NEAR = 0.4

        /** Part of the limit below which they need not be exact any more. */
        const val DISTANT = 0.25

        private val SHORTEST_NEAR = 5.seconds
    }
}
