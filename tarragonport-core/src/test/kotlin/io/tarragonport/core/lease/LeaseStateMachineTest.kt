package io.tarragonport.core.lease

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against two processes that act as holder at the same time, and against decreasing fencing tokens.
 *
 * Every case uses a test clock; `expect(a, b)` checks the fencing tokens with which the two processes may send a call
 * of up to 3 s.
 */
class LeaseStateMachineTest {
    private class Case(
        val name: String,
        val script: LeaseScript.() -> Unit,
    )

    private val cases =
        listOf(
            Case("a new lease is usable after the takeover delay") {
                settle("a")
                expect(null)
                advance(2_999.milliseconds)
                expect(null)
                advance(1.milliseconds)
                expect(1)
            },
            Case("renewals keep the lease and its fencing token") {
                run("a", 60.seconds)
                expect(1)
                assertEquals(1, record?.fencingToken?.value)
            },
            Case("validity counts from the sending of a slow renewal") {
                run("a", 6.seconds)
                assertIs<LeaseAction.Write>(step("a", responseDelay = 4.seconds))
                expect(1)
                advance(1.seconds)
                expect(1)
                advance(1.milliseconds)
                expect(null)
            },
            Case("a response that arrives after the validity has expired grants no permit") {
                run("a", 6.seconds)
                step("a", responseDelay = 9.seconds)
                expect(null)
                step("a")
                expect(1)
            },
            Case("a missed renewal ends the permit and the next one restores it") {
                run("a", 6.seconds)
                advance(5_001.milliseconds)
                expect(null)
                settle("a")
                expect(1)
            },
            Case("after a lost response the outcome is read and validity counts from the sending") {
                run("a", 6.seconds)
                assertIs<LeaseAction.Write>(step("a", lost = true))
                advance(4.seconds)
                assertEquals(LeaseAction.Read, step("a"))
                expect(1)
                advance(1.seconds)
                expect(1)
                advance(1.milliseconds)
                expect(null)
            },
            Case("a renewal without effect is repeated without extending the validity") {
                run("a", 6.seconds)
                step("a", delayWrite = true)
                advance(3.seconds)
                assertEquals(LeaseAction.Read, step("a"))
                assertIs<LeaseAction.Wait>(step("a"))
                advance(2_001.milliseconds)
                expect(null)
            },
            Case("of two renewals in flight only the one that took effect extends the validity") {
                run("a", 6.seconds)
                step("a", delayWrite = true)
                assertEquals(LeaseAction.Read, step("a"))
                advance(4.seconds)
                deliverDelayed()
                assertIs<LeaseAction.Write>(step("a"))
                assertEquals(LeaseAction.Read, step("a"))
                expect(1)
                advance(1_001.milliseconds)
                expect(null)
            },
            Case("after a lost response to the acquisition the outcome is read") {
                step("a")
                assertIs<LeaseAction.Write>(step("a", lost = true))
                expect(null)
                assertEquals(LeaseAction.Read, step("a"))
                advance(3.seconds)
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
            Case("an observed renewal restarts the observer's wait") {
                run("a", 6.seconds)
                settle("b")
                run("b", 10.seconds)
                settle("a")
                run("b", 10.seconds)
                assertEquals(null, machine("b").fencingToken)
            },
            Case("a paused holder loses the lease and detects it on resuming") {
                run("a", 6.seconds)
                settle("b")
                run("b", 20.seconds)
                expect(null, 2)
                settle("a")
                expect(null, 2)
                assertEquals(null, machine("a").fencingToken)
            },
            Case("of two processes that both consider themselves holder at most one has a permit") {
                run("a", 6.seconds)
                settle("b")
                run("b", 12.seconds)
                settle("b")
                assertEquals(1, machine("a").fencingToken?.value)
                assertEquals(2, machine("b").fencingToken?.value)
                expect(null, null)
                advance(3.seconds)
                expect(null, 2)
            },
            Case("a paused holder's renewal fails against its successor") {
                run("a", 6.seconds)
                step("a", delayWrite = true)
                settle("b")
                run("b", 16.seconds)
                assertEquals(listOf(false), deliverDelayed())
                expect(null, 2)
                settle("a")
                expect(null, 2)
            },
            Case("a paused observer does not acquire based on an old observation") {
                run("a", 6.seconds)
                settle("b")
                run("a", 60.seconds)
                assertEquals(LeaseAction.Read, step("b"))
                assertIs<LeaseAction.Wait>(step("b"))
                expect(1, null)
            },
            Case("a released lease is acquired immediately and used after the takeover delay") {
                run("a", 6.seconds)
                machine("a").requestRelease()
                expect(null, null)
                settle("a")
                settle("b")
                expect(null, null)
                advance(3.seconds)
                expect(null, 2)
                assertEquals(LeaseAction.Finished, step("a"))
            },
            Case("a release whose response is lost grants no permit") {
                run("a", 6.seconds)
                machine("a").requestRelease()
                step("a", lost = true)
                settle("a")
                expect(null)
                assertEquals(null, record?.holder)
            },
            Case("a release during a renewal grants no permit") {
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
            Case("during a platform outage the permit ends, and the lease is kept if no other process acquired it") {
                run("a", 6.seconds)
                step("a", delayWrite = true)
                repeat(60) {
                    machine("a").onReadFailed()
                    advance(500.milliseconds)
                }
                expect(null)
                settle("a")
                run("a", 1.seconds)
                expect(1)
            },
            Case("an unavailable platform is called at the retry interval by holder and observer") {
                run("a", 6.seconds)
                settle("b")
                advance(20.seconds)
                assertTrue(callsWithoutResponse("a", 10.seconds) <= 41)
                assertTrue(callsWithoutResponse("b", 10.seconds) <= 41)
            },
            Case("a platform that answers only reads is called at the retry interval by holder and observer") {
                run("a", 6.seconds)
                settle("b")
                advance(20.seconds)
                assertTrue(callsWithoutResponse("a", 10.seconds, readsSucceed = true) <= 41)
                assertTrue(callsWithoutResponse("b", 10.seconds, readsSucceed = true) <= 41)
            },
            Case("an ineligible VM keeps its lease and acquires none") {
                run("a", 6.seconds)
                advance(3.seconds)
                assertIs<LeaseAction.Write>(machine("a").next(eligible = false))
                assertIs<LeaseAction.Wait>(machine("b").next(eligible = false))
            },
        )

    @TestFactory
    fun cases(): List<DynamicTest> = cases.map { DynamicTest.dynamicTest(it.name) { it.script(LeaseScript()) } }
}
