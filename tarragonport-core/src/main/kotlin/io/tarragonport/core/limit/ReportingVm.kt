package io.tarragonport.core.limit

import io.tarragonport.api.peer.LimitDemand
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** State of one VM under one limit at the aggregator: its last report and the shares granted to it. */
internal class ReportingVm(
    private val timeSource: TimeSource,
    first: LimitDemand,
) {
    private var reportedAt: TimeMark = timeSource.markNow()

    var demand: LimitDemand = first
        private set

    var requestShare = 0.0
    var tokenShare = 0.0

    /** Time since the last report. */
    val age: Duration get() = reportedAt.elapsedNow()

    fun report(entry: LimitDemand) {
        demand = entry
        reportedAt = timeSource.markNow()
    }

    /**
     * How long the VM has been silent, counted for at most the [expected] time during which it had to report regularly,
     * less the time by which its report interval exceeds one second.
     */
    fun silence(expected: Duration): Duration = minOf(age, expected) - (demand.intervalSeconds - 1).seconds
}
