package io.tarragonport.core.gateway.attempt

import io.tarragonport.api.gateway.Repeatability
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.core.gateway.Samples
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A request that may not be repeated and may have run must never reach a second server. */
class AttemptPolicyTest {
    private data class Case(
        val repeatability: Repeatability,
        val outcomes: List<AttemptOutcome>,
        val budget: Boolean,
        val left: Duration,
        val retried: Boolean,
    )

    @Test
    fun `a request goes on only where it may`() {
        val long = 3.seconds
        listOf(
            Case(Repeatability.IDEMPOTENT, listOf(AttemptOutcome.BROKEN), true, long, true),
            Case(Repeatability.RESUMABLE_STREAM, listOf(AttemptOutcome.SILENT), true, long, true),
            Case(Repeatability.AT_MOST_ONCE, listOf(AttemptOutcome.BROKEN), true, long, false),
            Case(Repeatability.AT_MOST_ONCE, listOf(AttemptOutcome.SILENT), true, long, false),
            Case(Repeatability.AT_MOST_ONCE, listOf(AttemptOutcome.FAILED), true, long, false),
            Case(Repeatability.STREAM, listOf(AttemptOutcome.BROKEN), true, long, false),
            Case(Repeatability.AT_MOST_ONCE, listOf(AttemptOutcome.NOT_RUN), true, long, true),
            Case(Repeatability.AT_MOST_ONCE, listOf(AttemptOutcome.NOT_CONNECTED), false, long, true),
            Case(Repeatability.AT_MOST_ONCE, listOf(AttemptOutcome.NOT_RUN), false, long, false),
            Case(
                Repeatability.AT_MOST_ONCE,
                listOf(AttemptOutcome.NOT_RUN, AttemptOutcome.BROKEN),
                true,
                long,
                false,
            ),
            Case(Repeatability.IDEMPOTENT, listOf(AttemptOutcome.BROKEN), false, long, false),
            Case(Repeatability.IDEMPOTENT, listOf(AttemptOutcome.BROKEN), true, 10.milliseconds, false),
            Case(Repeatability.IDEMPOTENT, listOf(AttemptOutcome.FAILED, AttemptOutcome.FAILED), true, long, false),
            Case(Repeatability.IDEMPOTENT, List(4) { AttemptOutcome.NOT_CONNECTED }, true, long, false),
        ).forEach { case ->
            val history = AttemptHistory()
            case.outcomes.forEachIndexed { index, outcome -> history.record(BackendServerId("s$index"), outcome) }
            val route = Samples.route("/", repeatability = case.repeatability, maximumAttempts = 2)
            val policy = AttemptPolicy { case.budget }
            assertEquals(case.retried, policy.mayRetry(route, history, case.outcomes.last(), case.left), "$case")
        }
    }

    @Test
    fun `nothing is taken from the budget for a request that may not go on`() {
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
