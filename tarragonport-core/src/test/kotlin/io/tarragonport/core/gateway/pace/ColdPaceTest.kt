package io.tarragonport.core.gateway.pace

import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Guards against a cold server that gets more than it takes because every VM sends as if it were alone. */
class ColdPaceTest {
    private class Case(
        val rate: Double,
        val vms: Int,
    )

    private val cases = listOf(Case(7.7, 1), Case(7.7, 3), Case(7.7, 72), Case(7.7, 410), Case(0.5, 68), Case(20.0, 68))

    @Test
    fun `all VMs together stay within the rate of a cold server and use it`() =
        cases.forEach { case ->
            val sent = sent(case)
            val most = sent.maxOf { start -> sent.count { it in start..<start + 1_000 } }
            assertTrue(most <= case.rate + case.rate.coerceAtLeast(1.0), "${case.rate} ${case.vms}: $most in a second")
            val expected = case.rate * DURATION.inWholeSeconds
            assertTrue(sent.size >= expected * 0.75 - 1, "${case.rate} ${case.vms}: ${sent.size} of $expected")
        }

    /** Milliseconds at which requests are sent, if each VM sends as soon as it may. */
    private fun sent(case: Case): List<Long> {
        val clock = TestTimeSource()
        val start = clock.markNow()
        val paces = (0 until case.vms).map { ColdPace(case.rate, FleetTurn(it, case.vms), start) }
        val sent = mutableListOf<Long>()
        while (start.elapsedNow() < DURATION) {
            paces.filter { it.allows(clock.markNow()) }.forEach {
                it.sent(clock.markNow())
                sent += start.elapsedNow().inWholeMilliseconds
            }
            clock += 1.milliseconds
        }
        return sent
    }

    private companion object {
        val DURATION = 6.seconds
    }
}
