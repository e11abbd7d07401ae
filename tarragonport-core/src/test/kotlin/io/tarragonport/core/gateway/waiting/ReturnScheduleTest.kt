package io.tarragonport.core.gateway.waiting

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Guards against callers that are all refused in a burst and told to return together. */
class ReturnScheduleTest {
    private class Case(
        val title: String,
        val sentPerSecond: Int,
        val refused: Int,
        val last: Duration,
    )

    @Test
    fun `callers return in the order of their refusals, not faster than requests are sent`() =
        listOf(
            Case("nothing is sent", 0, 5, 1_500.milliseconds),
            Case("ten a second", 10, 11, 1_500.milliseconds),
            Case("a hundred a second", 100, 101, 1_500.milliseconds),
            Case("more than can return in time", 10, 200, ReturnSchedule.LONGEST),
        ).forEach { case ->
            val clock = TestTimeSource()
            val schedule = ReturnSchedule(clock)
            repeat(2 * case.sentPerSecond) {
                schedule.sent()
                clock += 1.seconds / case.sentPerSecond
            }
            val times = List(case.refused) { schedule.next() }
            assertEquals(times.sorted(), times, case.title)
            assertEquals(ReturnSchedule.SHORTEST, times.first(), case.title)
            val difference = (times.last() - case.last).absoluteValue
            assertTrue(difference <= 60.milliseconds, "${case.title}: ${times.last()}")
        }

    @Test
    fun `a single refusal after a calm time has the shortest wait`() {
        val clock = TestTimeSource()
        val schedule = ReturnSchedule(clock)
        repeat(50) { schedule.next() }
        clock += 1.minutes
        assertEquals(ReturnSchedule.SHORTEST, schedule.next())
    }
}
