package io.tarragonport.core.limit

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Report intervals that keep the traffic of reports and shares within its budget. */
object ReportRate {
    /** With one organisation per message, a report and a share take about 120 bytes: 1.5 KB/s allows 12 per second. */
    const val ENTRIES_PER_SECOND = 11.0

    /** Shortest interval between two reports under one limit. */
    val SHORTEST_INTERVAL: Duration = 1.seconds

    /** Time after which demand far below its limit is reported again: 650 organisations cause 7 reports per second. */
    val ROTATION_INTERVAL: Duration = 90.seconds

    /** Ticks are slightly early or late. */
    val TICK_TOLERANCE: Duration = 100.milliseconds

    /** Interval of reports near the limit: one aggregator accepts 20 per second from all [vms] VMs. */
    fun interval(
        vms: Int,
        nearLimit: Int,
    ): Duration {
        val forAggregator = vms / AGGREGATOR_PER_SECOND
        val forReporter = nearLimit / (ENTRIES_PER_SECOND * NEAR_LIMIT_PART)
        return maxOf(1.0, forAggregator, forReporter).seconds
    }

    /** Whole seconds of [interval], as sent in a report. */
    fun wholeSeconds(interval: Duration): Int = interval.toInt(DurationUnit.SECONDS)

    private const val AGGREGATOR_PER_SECOND = 20.0

    /** Leaves a part of the budget for the reports of other urgencies. */
    private const val NEAR_LIMIT_PART = 0.8
}
