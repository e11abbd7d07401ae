package io.tarragonport.core.gateway.overload

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

/**
 * Guards against requests that reach a server after their caller has left, because a slow VM read them late. Pattern:
 * all VMs restart cold at the same moment and callers connect faster than the traffic thread reads.
 */
class ArrivalClockTest {
    private class Case(
        val title: String,
        /** Durations in milliseconds: the round, then the gap after it. */
        val rounds: List<Pair<Int, Int>>,
        val currentRoundMs: Int,
        val ageMs: Int,
    )

    @Test
    fun `bytes are as old as the rounds in which they may have waited`() {
        listOf(
            Case("first round", emptyList(), 3, 3),
            Case("idle loop", listOf(2 to 500, 2 to 500), 1, 1),
            Case("busy loop", listOf(400 to 1, 300 to 1), 200, 902),
            Case("only the last two rounds count", listOf(5_000 to 1, 400 to 1, 300 to 1), 200, 902),
            Case("idle before the last round", listOf(400 to 200, 300 to 1), 200, 501),
            Case("a long timer task between rounds", listOf(1 to 40, 1 to 40), 1, 83),
            Case("a process that stood still within a round", listOf(1 to 500, 2_000 to 1), 5, 2_006),
        ).forEach { case ->
            val clock = TestTimeSource()
            val arrivals = ArrivalClock(clock)
            case.rounds.forEach { (duration, gap) ->
                arrivals.roundStarted()
                clock += duration.milliseconds
                arrivals.roundStarted()
                arrivals.roundEnded()
                clock += gap.milliseconds
            }
            arrivals.roundStarted()
            clock += case.currentRoundMs.milliseconds
            assertEquals(case.ageMs.milliseconds, clock.markNow() - arrivals.arrivalTime(), case.title)
        }
    }
}
