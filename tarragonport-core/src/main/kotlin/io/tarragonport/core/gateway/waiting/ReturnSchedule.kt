package io.tarragonport.core.gateway.waiting

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * The times after which refused callers of one service are told to return.
 *
 * Each caller gets a time of its own behind that of the one refused before it, as far apart as requests of the service
 * were sent to servers lately. Callers thus return in the order in which they were refused and not faster than they can
 * be served, rather than all at once.
 */
class ReturnSchedule(
    private val clock: TimeSource.WithComparableMarks,
) {
    private val sent = ArrayDeque<ComparableTimeMark>()
    private var lastReturn: ComparableTimeMark? = null

    /** Records that a request was sent to a server. */
    fun sent() {
        val now = clock.markNow()
        sent.addLast(now)
        forget(now)
    }

    /** The time after which a caller that is refused now is told to return. */
    fun next(): Duration {
        val now = clock.markNow()
        forget(now)
        val interval = if (sent.isEmpty()) LONGEST_INTERVAL else minOf(MEASURED / sent.size, LONGEST_INTERVAL)
        val previous = lastReturn
        val earliest = now + SHORTEST
        val planned = if (previous == null) earliest else maxOf(earliest, previous + interval)
        val returns = minOf(planned, now + LONGEST)
        lastReturn = returns
        return returns - now
    }

    private fun forget(now: ComparableTimeMark) {
        while (sent.size > MAXIMUM_COUNTED || sent.firstOrNull().let { it != null && now - it > MEASURED }) {
            sent.removeFirst()
        }
    }

    companion object {
        /** Servers that are full or unavailable recover within about a second. */
        val SHORTEST: Duration = 500.milliseconds

        /** Longer than most callers have left, of which they wait a third. */
        val LONGEST: Duration = 5.seconds
        private val MEASURED: Duration = 2.seconds
        private val LONGEST_INTERVAL: Duration = 250.milliseconds
        private const val MAXIMUM_COUNTED = 1_000
    }
}
