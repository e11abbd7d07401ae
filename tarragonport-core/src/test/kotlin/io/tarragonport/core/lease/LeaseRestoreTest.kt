package io.tarragonport.core.lease

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Clock
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlin.time.TestTimeSource

/**
 * Guards against one fencing token of two VMs, decreasing tokens and alternating holders after the store was restored
 * from an older copy, which has lost the writes of the latest holder.
 */
class LeaseRestoreTest {
    private class Case(
        val name: String,
        val eras: Boolean = true,
        val skew: Map<String, Duration> = emptyMap(),
        val script: LeaseScript.() -> Unit,
    )

    private class SkewedClock(
        private val origin: ComparableTimeMark,
        private val skew: Duration,
    ) : Clock {
        override fun now(): Instant = Instant.fromEpochSeconds(START_S) + origin.elapsedNow() + skew
    }

    private val cases =
        listOf(
            Case("the holder was killed, its successor acquired after the copy, and a third VM knows of neither") {
                runTogether(listOf("a", "b", "c"), 20.seconds)
                runTogether(listOf("c"), 7.seconds)
                val copy = copy()
                runTogether(listOf("b"), 8.seconds)
                restore(copy)
                runTogether(listOf("b", "c"), 40.seconds)
                assertEquals(listOf("a", "b"), orderingProcesses())
            },
            Case("the successor is gone too") {
                runTogether(listOf("a", "b", "c"), 20.seconds)
                runTogether(listOf("c"), 7.seconds)
                val copy = copy()
                runTogether(listOf("b"), 8.seconds)
                restore(copy)
                runTogether(listOf("c"), 40.seconds)
                assertEquals(listOf("a", "b", "c"), orderingProcesses())
            },
            Case("the holder left in a planned stop, and the copy still has its lease") {
                runTogether(listOf("a", "b", "c"), 20.seconds)
                val copy = copy()
                machine("a").requestRelease()
                settle("a")
                runTogether(listOf("b"), 5.seconds)
                restore(copy)
                runTogether(listOf("b", "c"), 40.seconds)
                assertEquals(listOf("a", "b"), orderingProcesses())
            },
            Case("a frozen holder wakes after the restore") {
                runTogether(listOf("a", "b", "c"), 20.seconds)
                val copy = copy()
                runTogether(listOf("b", "c"), 20.seconds)
                restore(copy)
                runTogether(listOf("b", "c"), 3.seconds)
                runTogether(listOf("a", "b", "c"), 40.seconds)
                assertEquals(2, orderingProcesses().size)
            },
            Case("the copy has a released lease that another VM holds by now") {
                runTogether(listOf("a", "b", "c"), 20.seconds)
                machine("a").requestRelease()
                settle("a")
                val copy = copy()
                runTogether(listOf("b"), 5.seconds)
                restore(copy)
                runTogether(listOf("c"), 4.seconds)
                runTogether(listOf("b", "c"), 40.seconds)
                assertEquals(listOf("a", "b"), orderingProcesses().take(2))
            },
            Case("the copy has no lease at all") {
                val copy = copy()
                runTogether(listOf("a"), 20.seconds)
                restore(copy)
                runTogether(listOf("b"), 4.seconds)
                runTogether(listOf("a", "b"), 40.seconds)
                assertTrue(orderingProcesses().first() == "a")
            },
            Case("every VM that knows the highest token is gone") {
                val copy = copy()
                runTogether(listOf("a", "b"), 20.seconds)
                runTogether(listOf("b"), 30.seconds)
                restore(copy)
                runTogether(listOf("c", "d"), 40.seconds)
                assertEquals(3, orderingProcesses().size)
            },
            Case(
                "clocks differ by ten seconds and the highest token is known from the VM records",
                skew = mapOf("a" to 5.seconds, "b" to (-5).seconds),
            ) {
                val copy = copy()
                runTogether(listOf("a", "b"), 20.seconds)
                restore(copy)
                machine("b").onTokenSeen(machine("a").highestFencingToken)
                runTogether(listOf("b"), 40.seconds)
                assertEquals(listOf("a", "b"), orderingProcesses())
            },
            Case("two restores within seconds") {
                val copy = copy()
                runTogether(listOf("a", "b", "c"), 20.seconds)
                restore(copy)
                runTogether(listOf("a", "b", "c"), 2.seconds)
                restore(copy)
                runTogether(listOf("b", "c"), 3.seconds)
                runTogether(listOf("a", "b", "c"), 40.seconds)
            },
            Case("a write sent before the restore takes effect after it, at a revision that was assigned again") {
                runTogether(listOf("a", "b"), 20.seconds)
                val copy = copy()
                runTogether(listOf("a"), 2.seconds)
                step("a", delayWrite = true)
                restore(copy)
                changeOtherObject()
                deliverDelayed()
                runTogether(listOf("b"), 2.seconds)
                runTogether(listOf("a", "b"), 40.seconds)
            },
            Case("the response to the holder's first write after the restore is lost") {
                val copy = copy()
                runTogether(listOf("a", "b"), 20.seconds)
                restore(copy)
                step("a")
                step("a")
                step("a", lost = true)
                runTogether(listOf("b"), 2.seconds)
                runTogether(listOf("a", "b"), 40.seconds)
            },
            Case("an observer that has not heard of the restore overwrites the lease") {
                runTogether(listOf("a", "b", "c"), 20.seconds)
                runTogether(listOf("c"), 1.seconds)
                val copy = copy()
                runTogether(listOf("b"), 14.seconds)
                restore(copy)
                settle("c")
                runTogether(listOf("b", "c"), 40.seconds)
                assertEquals(listOf("a", "b"), orderingProcesses())
            },
            Case("a store that reports no eras: tokens still differ and rise", eras = false) {
                runTogether(listOf("a", "b", "c"), 20.seconds)
                runTogether(listOf("c"), 1.seconds)
                val copy = copy()
                runTogether(listOf("b"), 14.seconds)
                restore(copy)
                settle("c")
                val tokens = listOf("b", "c").map { machine(it).highestFencingToken }
                assertTrue(tokens[0] < tokens[1], "$tokens")
            },
            Case("a holder that lives through a restore acts again within the takeover delay and two calls") {
                val copy = copy()
                runTogether(listOf("a", "b"), 20.seconds)
                restore(copy)
                runTogether(listOf("a", "b"), settings.renewInterval + settings.takeoverDelay + 200.milliseconds)
                assertTrue(authorized("a", Duration.ZERO) != null)
            },
        )

    @TestFactory
    fun cases(): List<DynamicTest> =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val clock = TestTimeSource()
                val start = clock.markNow()
                val script =
                    LeaseScript(clock = clock, eras = case.eras) { owner ->
                        ClockFencingTokens(owner, SkewedClock(start, case.skew[owner.vm.value] ?: Duration.ZERO))
                    }
                case.script(script)
            }
        }

    private companion object {
        const val START_S = 1_700_000_000L
    }
}
