package io.tarragonport.core.gateway.overload

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * Estimates when the bytes that an event loop reads now have arrived.
 *
 * A loop that is busy reads late, and a caller's time limit has been running since its bytes arrived. A new connection
 * is accepted in one round of the loop and read in the next, so its bytes can be as old as the start of the round before
 * the last. The estimate is the earliest possible time; it is the present if the loop was idle in between.
 */
class ArrivalClock(
    private val clock: TimeSource.WithComparableMarks,
) {
    private class Round(
        val start: ComparableTimeMark,
        val end: ComparableTimeMark,
    )

    private val finished = ArrayDeque<Round>()
    private var currentStart: ComparableTimeMark? = null

    /** Whether a round has started and not ended. */
    val inRound: Boolean get() = currentStart != null

    /** The loop starts to handle what is ready; no effect within a round. */
    fun roundStarted() {
        if (currentStart == null) currentStart = clock.markNow()
    }

    /** The loop has handled everything that was ready. */
    fun roundEnded() {
        val start = currentStart ?: return
        currentStart = null
        finished.addLast(Round(start, clock.markNow()))
        if (finished.size > ROUNDS_UNTIL_READ) finished.removeFirst()
    }

    /** The earliest time at which bytes read now can have arrived. */
    fun arrivalTime(): ComparableTimeMark {
        var earliest = currentStart ?: clock.markNow()
        for (round in finished.reversed()) {
            if (earliest - round.end > IDLE_GAP) break
            earliest = round.start
        }
        return earliest
    }

    private companion object {
        /** Rounds in which a connection is established and accepted before its bytes are read. */
        const val ROUNDS_UNTIL_READ = 2

        /** Time for timers and tasks between two rounds; a longer gap means that the loop waited for something to do. */
        val IDLE_GAP: Duration = 50.milliseconds
    }
}
