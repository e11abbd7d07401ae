package io.tarragonport.core.lease

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards G6 and G7: at no time may two processes act as holder, and fencing numbers never go back.
 *
 * Every case runs on a paused clock; `expect(a, b)` gives the fencing numbers under which the two processes may send a
 * call of up to 3 s.
 */
class LeaseStateMachineTest {
    private class Case(
        val name: String,
        val script: LeaseScript.() -> Unit,
    )

    private val cases =
        listOf(
            Case("a new lease is usable after the successor wait") {
                settle("a")
                expect(null)
                pass(2_999.milliseconds)
                expect(null)
                pass(1.milliseconds)
                expect(1)
            },
            Case("renewals keep the lease and its number") {
                run("a", 60.seconds)
                expect(1)
                assertEquals(1, record?.fencingToken?.value)
            },
            Case("validity is counted from the sending of a slow renewal") {
                run("a", 6.seconds)
                assertIs<LeaseAction.Write>(step("a", answerAfter = 4.seconds))
                expect(1)
                pass(1.seconds)
                expect(1)
                pass(1.milliseconds)
                expect(null)
            },
            Case("an answer that arrives after the validity gives no permission") {
                run("a", 6.seconds)
                step("a", answerAfter = 9.seconds)
                expect(null)
                step("a")
                expect(1)
            },
            Case("a missed renewal ends the permission and the next one restores it") {
                run("a", 6.seconds)
                pass(5_001.milliseconds)
                expect(null)
                settle("a")
                expect(1)
            },
            Case("a lost answer is settled by reading and counts from the sending") {
                run("a", 6.seconds)
                assertIs<LeaseAction.Write>(step("a", lost = true))
                pass(4.seconds)
                assertEquals(LeaseAction.Read, step("a"))
                expect(1)
                pass(1.seconds)
                expect(1)
                pass(1.milliseconds)
                expect(null)
            },
            Case("a renewal without effect is repeated without extending the validity") {
                run("a", 6.seconds)
                step("a", arrivesLater = true)
                pass(3.seconds)
                assertEquals(LeaseAction.Read, step("a"))
                assertIs<LeaseAction.Wait>(step("a"))
                pass(2_001.milliseconds)
                expect(null)
            },
            Case("of two renewals under way the one that took effect counts") {
                run("a", 6.seconds)
                step("a", arrivesLater = true)
                assertEquals(LeaseAction.Read, step("a"))
                pass(4.seconds)
                arrive()
                assertIs<LeaseAction.Write>(step("a"))
                assertEquals(LeaseAction.Read, step("a"))
                expect(1)
                pass(1_001.milliseconds)
                expect(null)
            },
            Case("a lost answer to the acquisition is settled by reading") {
                step("a")
                assertIs<LeaseAction.Write>(step("a", lost = true))
                expect(null)
                assertEquals(LeaseAction.Read, step("a"))
                pass(3.seconds)
                expect(1)
            },
            Case("an observer waits for duration and margin after the last change") {
                run("a", 6.seconds)
                settle("b")
                run("b", 11_999.milliseconds)
                assertEquals(null, machine("b").fencingToken)
                run("b", 1.milliseconds)
                settle("b")
                assertEquals(2, machine("b").fencingToken?.value)
            },
            Case("a renewal that is seen restarts the observer's wait") {
                run("a", 6.seconds)
                settle("b")
                run("b", 10.seconds)
                settle("a")
                run("b", 10.seconds)
                assertEquals(null, machine("b").fencingToken)
            },
            Case("a holder that is paused loses the lease and learns it on resuming") {
                run("a", 6.seconds)
                settle("b")
                run("b", 20.seconds)
                expect(null, 2)
                settle("a")
                expect(null, 2)
                assertEquals(null, machine("a").fencingToken)
            },
            Case("two holders that both believe in the lease are never both permitted") {
                run("a", 6.seconds)
                settle("b")
                run("b", 12.seconds)
                settle("b")
                assertEquals(1, machine("a").fencingToken?.value)
                assertEquals(2, machine("b").fencingToken?.value)
                expect(null, null)
                pass(3.seconds)
                expect(null, 2)
            },
            Case("a paused holder's renewal fails against its successor") {
                run("a", 6.seconds)
                step("a", arrivesLater = true)
                settle("b")
                run("b", 16.seconds)
                assertEquals(listOf(false), arrive())
                expect(null, 2)
                settle("a")
                expect(null, 2)
            },
            Case("an observer that is paused does not acquire from an old observation") {
                run("a", 6.seconds)
                settle("b")
                run("a", 60.seconds)
                assertEquals(LeaseAction.Read, step("b"))
                assertIs<LeaseAction.Wait>(step("b"))
                expect(1, null)
            },
            Case("a released lease is acquired at once and used after the successor wait") {
                run("a", 6.seconds)
                machine("a").requestRelease()
                expect(null, null)
                settle("a")
                settle("b")
                expect(null, null)
                pass(3.seconds)
                expect(null, 2)
                assertEquals(LeaseAction.Finished, step("a"))
            },
            Case("a release whose answer is lost gives no permission") {
                run("a", 6.seconds)
                machine("a").requestRelease()
                step("a", lost = true)
                settle("a")
                expect(null)
                assertEquals(null, record?.holder)
            },
            Case("a release during a renewal gives no permission") {
                run("a", 6.seconds)
                val machine = machine("a")
                machine.next(eligible = true)
                machine.requestRelease()
                machine.onWriteOutcomeUnknown()
                settle("a")
                expect(null)
                run("a", settings.retryInterval)
                settle("a")
                expect(null)
                assertEquals(null, record?.holder)
            },
            Case("the platform is away: permission ends and the lease is kept if nobody took it") {
                run("a", 6.seconds)
                step("a", arrivesLater = true)
                repeat(60) {
                    machine("a").onReadFailed()
                    pass(500.milliseconds)
                }
                expect(null)
                settle("a")
                run("a", 1.seconds)
                expect(1)
            },
            Case("a platform that is away is called at the retry interval, by holder and observer") {
                run("a", 6.seconds)
                settle("b")
                pass(20.seconds)
                assertTrue(callsWithoutAnswer("a", 10.seconds) <= 41)
                assertTrue(callsWithoutAnswer("b", 10.seconds) <= 41)
            },
            Case("a platform that answers reads only is called at the retry interval, by holder and observer") {
                run("a", 6.seconds)
                settle("b")
                pass(20.seconds)
                assertTrue(callsWithoutAnswer("a", 10.seconds, readsAnswered = true) <= 41)
                assertTrue(callsWithoutAnswer("b", 10.seconds, readsAnswered = true) <= 41)
            },
            Case("a VM that is not a candidate keeps its lease and acquires none") {
                run("a", 6.seconds)
                pass(3.seconds)
                assertIs<LeaseAction.Write>(machine("a").next(eligible = false))
                assertIs<LeaseAction.Wait>(machine("b").next(eligible = false))
            },
        )

    @TestFactory
    fun cases(): List<DynamicTest> = cases.map { DynamicTest.dynamicTest(it.name) { it.script(LeaseScript()) } }
}
