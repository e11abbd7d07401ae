package io.tarragonport.core.placement

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.minutes
import kotlin.time.TimeSource

/** Limits the starts of model engines to the weight store's rate limit over a sliding minute. */
internal class TransferBudget(
    private val perMinute: Int,
    private val clock: TimeSource.WithComparableMarks,
) {
    private val starts = ArrayDeque<ComparableTimeMark>()

    /** Consumes one transfer and returns true if the budget allows it. */
    fun take(): Boolean {
        val now = clock.markNow()
        while (starts.firstOrNull()?.let { it + 1.minutes <= now } == true) {
            starts.removeFirst()
        }
        val granted = starts.size < perMinute
        if (granted) {
            starts.addLast(now)
        }
        return granted
    }
}
