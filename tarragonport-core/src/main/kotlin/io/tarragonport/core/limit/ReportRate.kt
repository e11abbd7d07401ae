package io.tarragonport.core.limit

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Report intervals that keep the traffic of reports and shares within its budget. */
object ReportRate {
    /**
     * With one organisation per message, a report and the share in response take about 120 bytes, so that a budget of
     * 1.5 KB/s allows 12 of them per second.
     */
    const val ENTRIES_PER_SECOND = 11.0

    /** Shortest interval between two reports under one limit. */
    val SHORTEST_INTERVAL: Duration = 1.seconds

    /** Time after which demand far below its limit is reported again. 650 organisations cause 7 reports per second. */
    val ROTATION_INTERVAL: Duration = 90.seconds

    /** Time by which a report may be early, because ticks are slightly early or late. */
    val TICK_TOLERANCE: Duration = 100.milliseconds

    /**
     * Interval of reports near the limit if this VM has demand near [nearLimitCount] limits. One aggregator accepts 20
     * reports per second from all [vms] VMs, and this VM has to stay within its budget.
     */
    fun interval(
        vms: Int,
        nearLimitCount: Int,
    ): Duration {
        val forAggregator = vms / AGGREGATOR_REPORTS_PER_SECOND
        val forReporter = nearLimitCount / (ENTRIES_PER_SECOND * NEAR_LIMIT_SHARE)
        return maxOf(1.0, forAggregator, forReporter).seconds
    }

    /** Whole seconds of [interval], as sent in a report. */
    fun wholeSeconds(interval: Duration): Int = interval.toInt(DurationUnit.SECONDS)

    private const val AGGREGATOR_REPORTS_PER_SECOND = 20.0

    /** Share of the budget for reports near the limit; the rest is left for those of other urgencies. */
    private const val NEAR_LIMIT_SHARE = 0.8
}
