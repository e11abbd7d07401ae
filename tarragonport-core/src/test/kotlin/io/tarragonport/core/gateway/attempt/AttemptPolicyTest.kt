package io.tarragonport.core.gateway.attempt

import io.tarragonport.api.gateway.Repeatability
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.core.gateway.Samples
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against sending a non-repeatable request to a second server after it may have been executed. */
class AttemptPolicyTest {
    private data class Case(
        val repeatability: Repeatability,
        val outcomes: List<AttemptOutcome>,
        val hasBudget: Boolean,
        val remaining: Duration,
        val retried: Boolean,
    )

    @Test
    fun `a request is retried only if its repeatability, the budget, the time and the attempts so far allow it`() {
        val enough = 3.seconds
        listOf(
            Case(Repeatability.IDEMPOTENT, listOf(AttemptOutcome.BROKEN), true, enough, true),
            Case(Repeatability.RESUMABLE_STREAM, listOf(AttemptOutcome.SILENT), true, enough, true),
            Case(Repeatability.AT_MOST_ONCE, listOf(AttemptOutcome.BROKEN), true, enough, false),
            Case(Repeatability.AT_MOST_ONCE, listOf(AttemptOutcome.SILENT), true, enough, false),
            Case(Repeatability.AT_MOST_ONCE, listOf(AttemptOutcome.FAILED), true, enough, false),
            Case(Repeatability.STREAM, listOf(AttemptOutcome.BROKEN), true, enough, false),
            Case(Repeatability.AT_MOST_ONCE, listOf(AttemptOutcome.NOT_RUN), true, enough, true),
            Case(Repeatability.AT_MOST_ONCE, listOf(AttemptOutcome.NOT_CONNECTED), false, enough, true),
            Case(Repeatability.AT_MOST_ONCE, listOf(AttemptOutcome.NOT_RUN), false, enough, false),
            Case(
                Repeatability.AT_MOST_ONCE,
                listOf(AttemptOutcome.NOT_RUN, AttemptOutcome.BROKEN),
                true,
                enough,
                false,
            ),
            Case(Repeatability.IDEMPOTENT, listOf(AttemptOutcome.BROKEN), false, enough, false),
            Case(Repeatability.IDEMPOTENT, listOf(AttemptOutcome.BROKEN), true, 10.milliseconds, false),
            Case(Repeatability.IDEMPOTENT, listOf(AttemptOutcome.FAILED, AttemptOutcome.FAILED), true, enough, false),
            Case(Repeatability.IDEMPOTENT, List(4) { AttemptOutcome.NOT_CONNECTED }, true, enough, false),
        ).forEach { case ->
            val history = AttemptHistory()
            case.outcomes.forEachIndexed { index, outcome -> history.record(BackendServerId("s$index"), outcome) }
            val route = Samples.route("/", repeatability = case.repeatability, maximumAttempts = 2)
            val policy = AttemptPolicy { case.hasBudget }
            assertEquals(case.retried, policy.mayRetry(route, history, case.outcomes.last(), case.remaining), "$case")
        }
    }

    @Test
    fun `a request that may not be retried consumes no retry budget`() {
        var taken = 0
        val policy =
            AttemptPolicy {
                taken++
                true
            }
        val history = AttemptHistory()
        history.record(BackendServerId("s"), AttemptOutcome.BROKEN)
        val route = Samples.route("/", repeatability = Repeatability.AT_MOST_ONCE)
        policy.mayRetry(route, history, AttemptOutcome.BROKEN, 1.seconds)
        assertEquals(0, taken)
    }
}
