package io.tarragonport.core.admission

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.test.Test
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Guards against starvation of reviews during an hour of chats at twice the capacity. */
class FloorBurstTest {
    /** Counts of one minute: starts of all classes, starts of reviews and complete reviews. */
    private class Minute(
        val starts: Int,
        val reviewStarts: Int,
        val reviewResponses: Int,
    )

    /** Counts of each minute of the burst, without the first one, in which the queues fill. */
    private fun simulateBurst(
        vms: Int,
        floorShare: Double,
    ): List<Minute> {
        val review = Requests.review.copy(floorShare = floorShare)
        val fleet = DispatchSimulation(vms, SERVERS, SLOTS) { if (it.longOutput) 20.seconds else 2.seconds }
        val chatsPerStep = 2 * SERVERS * SLOTS / 2 / DispatchSimulation.STEPS_PER_SECOND.toDouble()
        var pendingChats = 0.0
        repeat(SECONDS * DispatchSimulation.STEPS_PER_SECOND) { step ->
            pendingChats += chatsPerStep
            while (pendingChats >= 1.0) {
                fleet.arrive(Requests.chat)
                pendingChats -= 1.0
            }
            if (step % STEPS_PER_REVIEW == 0) fleet.arrive(review)
            fleet.advance()
        }
        return (1 until SECONDS / 60).map { minute ->
            val starts = fleet.starts.filter { it.first / 60 == minute }
            val responses = fleet.responses.count { it.first / 60 == minute && it.second.longOutput }
            Minute(starts.size, starts.count { it.second.longOutput }, responses)
        }
    }

    @ParameterizedTest
    @CsvSource("1", "7")
    fun `reviews get their floor of starts every minute and complete within any five minutes`(vms: Int) {
        val minutes = simulateBurst(vms, floorShare = 0.05)
        minutes.forEachIndexed { minute, it ->
            assertTrue(it.reviewStarts >= 0.05 * it.starts, "minute ${minute + 1}: ${it.reviewStarts} of ${it.starts}")
        }
        minutes.windowed(5).forEachIndexed { first, window ->
            assertTrue(
                window.sumOf { it.reviewResponses } > 0,
                "no complete review in the five minutes from minute ${first + 1}",
            )
        }
    }

    @ParameterizedTest
    @CsvSource("1", "7")
    fun `reviews starve in the same burst without a floor`(vms: Int) {
        val minutes = simulateBurst(vms, floorShare = 0.0)
        val minutesBelowFloor = minutes.count { it.reviewStarts < 0.05 * it.starts }
        assertTrue(
            minutesBelowFloor > minutes.size / 2,
            "only $minutesBelowFloor of ${minutes.size} minutes were below the floor",
        )
    }

    @Test
    fun `passing over a class below its floor fails the invariant check`() {
        assertFailsWith<IllegalStateException> { FloorInvariant.checkStart(Requests.review, couldStart = true) }
        FloorInvariant.checkStart(Requests.review, couldStart = false)
    }

    private companion object {
        const val SERVERS = 6
        const val SLOTS = 8
        const val SECONDS = 3_600

        /** Five reviews per second, more than the floor of 5% admits. */
        const val STEPS_PER_REVIEW = 2
    }
}
