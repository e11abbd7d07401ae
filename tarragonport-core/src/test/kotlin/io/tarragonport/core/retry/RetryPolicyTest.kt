package io.tarragonport.core.retry

import io.tarragonport.api.configuration.RequestClass
import io.tarragonport.api.configuration.Tier
import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.error.ExecutionStatus
import io.tarragonport.api.id.RequestClassId
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

class RetryPolicyTest {
    private val chat = RequestClass(RequestClassId("chat"), Tier(1), deadlineMs = 1_000)
    private val note = chat.copy(resumable = false)
    private val deposit = chat.copy(repeatable = false, resumable = false)

    /** Guards against a second run of requests that must not be repeated, and against wrong `ran` values. */
    @Test
    fun `retries only if a second attempt is safe`() {
        val resume = "resume"
        val restart = "restart"

        fun ask(
            requestClass: RequestClass,
            failure: AttemptFailure,
            change: RetryContext.() -> RetryContext = { this },
        ) = RetryContext(requestClass, failure, attempts = 1).change()
        val cases =
            listOf(
                ask(chat, AttemptFailure.NOT_SENT) to restart,
                ask(deposit, AttemptFailure.NOT_SENT) to restart,
                ask(deposit, AttemptFailure.NOT_SENT) { copy(sentBefore = true) } to "backend_failed unknown",
                ask(deposit, AttemptFailure.INTERRUPTED) to "backend_failed unknown",
                ask(deposit, AttemptFailure.DRAINING) to "no_backend_server unknown",
                ask(chat, AttemptFailure.DRAINING) to restart,
                ask(chat, AttemptFailure.UNAVAILABLE) to restart,
                ask(chat, AttemptFailure.REFUSED) to "backend_failed unknown",
                ask(chat, AttemptFailure.INTERRUPTED) to restart,
                ask(chat, AttemptFailure.INTERRUPTED) { copy(receivedTokens = 3, deliveredTokens = 3) } to resume,
                ask(chat, AttemptFailure.NOT_SENT) { copy(receivedTokens = 3, sentBefore = true) } to resume,
                ask(note, AttemptFailure.INTERRUPTED) { copy(receivedTokens = 3) } to restart,
                ask(note, AttemptFailure.INTERRUPTED) { copy(receivedTokens = 3, deliveredTokens = 3) } to
                    "answer_incomplete yes",
                ask(chat, AttemptFailure.INCORRECT_ANSWER) to restart,
                ask(deposit, AttemptFailure.INCORRECT_ANSWER) to "answer_incomplete unknown",
                ask(chat, AttemptFailure.NOT_SENT) { copy(markedAsRetry = true) } to "no_backend_server no",
                ask(chat, AttemptFailure.NOT_SENT) { copy(attempts = 4) } to "no_backend_server no",
                ask(chat, AttemptFailure.INTERRUPTED) { copy(deadlinePassed = true) } to "deadline_exceeded unknown",
                ask(chat, AttemptFailure.INTERRUPTED) { copy(attempts = 4, receivedTokens = 1) } to
                    "answer_incomplete yes",
            )
        for ((context, expected) in cases) {
            val decision = RetryPolicy(RetryBudget(TestTimeSource())).decide(context)
            val actual =
                when (decision) {
                    is RetryDecision.Resume -> resume
                    is RetryDecision.Restart -> restart
                    is RetryDecision.Fail -> "${decision.kind.code} ${decision.executionStatus.name.lowercase()}"
                }
            assertEquals(expected, actual, context.toString())
        }
    }

    /**
     * Guards against failing the streams of a crashed server because there are more of them than the budget allows.
     */
    @Test
    fun `requests of a crashed server do not count against the budget`() {
        val exhausted = RetryBudget(TestTimeSource()).also { budget -> repeat(100) { budget.tryTake() } }
        val cases =
            listOf(
                RetryContext(chat, AttemptFailure.INTERRUPTED, attempts = 1, serverCrashed = true) to true,
                RetryContext(chat, AttemptFailure.UNAVAILABLE, attempts = 1, serverCrashed = true) to true,
                RetryContext(chat, AttemptFailure.NOT_SENT, attempts = 1) to true,
                RetryContext(chat, AttemptFailure.INTERRUPTED, attempts = 1) to false,
                RetryContext(chat, AttemptFailure.UNAVAILABLE, attempts = 1) to false,
                RetryContext(deposit, AttemptFailure.INTERRUPTED, attempts = 1, serverCrashed = true) to false,
            )
        for ((context, allowed) in cases) {
            assertEquals(allowed, RetryPolicy(exhausted).decide(context) !is RetryDecision.Fail, context.toString())
        }
    }

    /** Guards against retries that add more load than the budget when every server fails. */
    @Test
    fun `the budget bounds retries`() {
        data class Case(
            val requestsPerSecond: Int,
            val triesPerSecond: Int,
            val expectedPerSecond: Int,
        )
        val cases = listOf(Case(0, 50, 3), Case(10, 10, 3), Case(100, 100, 10), Case(1_000, 1_000, 100), Case(5, 2, 2))
        for (case in cases) {
            val time = TestTimeSource()
            val budget = RetryBudget(time)
            var taken = 0
            repeat(100) {
                repeat(case.requestsPerSecond) { budget.requestArrived() }
                taken += (1..case.triesPerSecond).count { budget.tryTake() }
                time += 1.seconds
            }
            assertTrue(taken <= case.expectedPerSecond * 100, "$case took $taken")
            assertTrue(taken >= case.expectedPerSecond * 95, "$case took $taken")
        }
    }

    /** Guards against using a budget long after the requests that it was granted for. */
    @Test
    fun `requests count for ten seconds`() {
        val time = TestTimeSource()
        val budget = RetryBudget(time)
        repeat(1_000) { budget.requestArrived() }
        time += RetryBudget.WINDOW
        assertEquals(RetryBudget.LEAST_PER_SECOND, (1..200).count { budget.tryTake() })
    }

    /** Guards against a retry without budget, and against a wrong `ran` value in the error. */
    @Test
    fun `a request fails if the budget is exhausted`() {
        val budget = RetryBudget(TestTimeSource())
        repeat(RetryBudget.LEAST_PER_SECOND) { assertTrue(budget.tryTake()) }
        val decision = RetryPolicy(budget).decide(RetryContext(chat, AttemptFailure.UNAVAILABLE, attempts = 1))
        assertIs<RetryDecision.Fail>(decision)
        assertEquals(ErrorKind.BACKEND_FAILED to ExecutionStatus.UNKNOWN, decision.kind to decision.executionStatus)
    }
}
