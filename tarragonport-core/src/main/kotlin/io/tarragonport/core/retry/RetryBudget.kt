package io.tarragonport.core.retry

import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Limits the retries of one VM to [share] of its requests over the last 10 s plus [spare], but always allows
 * [leastPerSecond] in any second. Thread-safe.
 *
 * Counts are kept per second; the window consists of the current second and the nine before it.
 */
class RetryBudget(
    timeSource: TimeSource,
    private val share: Double = SHARE,
    private val leastPerSecond: Int = LEAST_PER_SECOND,
    private val spare: () -> Double = { 0.0 },
) {
    private class SecondCounts {
        var number = -1L
        var requests = 0
        var retries = 0
    }

    private val start = timeSource.markNow()
    private val window = Array(WINDOW_SECONDS) { SecondCounts() }

    /** Counts a request that is not a retry. */
    @Synchronized
    fun requestArrived() {
        current().requests++
    }

    /** Takes one retry from the budget; false if the budget is exhausted. */
    @Synchronized
    fun tryTake(): Boolean {
        val second = current()
        val recent = window.filter { it.number > second.number - WINDOW_SECONDS }
        val allowedByShare = (recent.sumOf { it.requests } * share + spare()).toInt()
        val withinShare = recent.sumOf { it.retries } < allowedByShare
        if (!withinShare && second.retries >= leastPerSecond) return false
        second.retries++
        return true
    }

    private fun current(): SecondCounts {
        val number = start.elapsedNow().inWholeSeconds
        val second = window[(number % WINDOW_SECONDS).toInt()]
        if (second.number != number) {
            second.number = number
            second.requests = 0
            second.retries = 0
        }
        return second
    }

    companion object {
        /** Retries per request; bounds the additional load when every server fails. */
        const val SHARE = 0.10

        /** Retries per second that are allowed even with few requests. */
        const val LEAST_PER_SECOND = 3

        private const val WINDOW_SECONDS = 10
        val WINDOW = WINDOW_SECONDS.seconds
    }
}
