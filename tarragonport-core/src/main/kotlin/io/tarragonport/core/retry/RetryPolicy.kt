package io.tarragonport.core.retry

import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.error.ExecutionStatus

/**
 * Decides whether a failed request is retried. A retry must not run a request twice that may not be repeated, and
 * retries must not overload the servers.
 *
 * A request runs again only if it is repeatable or no byte of it can have been written, the caller has received nothing
 * that a second attempt cannot continue, the deadline and [budget] allow it, and it is not itself a retry. Requests of
 * a crashed server do not count against the budget.
 */
class RetryPolicy(
    private val budget: RetryBudget,
) {
    /** Decides on one failed attempt; a retry may take from the budget. */
    fun decide(context: RetryContext): RetryDecision {
        val reason = reasonAgainst(context)
        if (reason != null) return fail(context, reason)
        if (countsAgainstBudget(context) && !budget.tryTake()) return fail(context, "retry budget is used up")
        return if (context.receivedTokens > 0 && context.requestClass.resumable) {
            RetryDecision.Resume("resume after ${context.receivedTokens} tokens: ${context.failure}")
        } else {
            RetryDecision.Restart("run again: ${context.failure}")
        }
    }

    /**
     * The budget prevents retries from overloading servers that are already slow. It does not apply to a crashed
     * server: one crash interrupts all its streams at once, more than the budget of a small deployment allows. Their
     * retries are bounded by the number of attempts and because a request is refused after its second crash.
     */
    private fun countsAgainstBudget(context: RetryContext): Boolean =
        !context.serverCrashed && context.failure != AttemptFailure.NOT_SENT

    private fun reasonAgainst(context: RetryContext): String? =
        when {
            context.deadlinePassed -> "deadline has passed"
            context.markedAsRetry -> "request is already a retry"
            context.attempts >= MAXIMUM_ATTEMPTS -> "request ran ${context.attempts} times"
            context.failure == AttemptFailure.REFUSED -> "server refused the request itself"
            isCertainlyNotSent(context) -> null
            !context.requestClass.repeatable -> "request may not be repeated"
            context.deliveredTokens > 0 && !context.requestClass.resumable -> "answer cannot be continued"
            else -> null
        }

    private fun fail(
        context: RetryContext,
        reason: String,
    ): RetryDecision.Fail = RetryDecision.Fail(kind(context), executionStatus(context), reason)

    private fun kind(context: RetryContext): ErrorKind =
        when {
            context.deadlinePassed -> ErrorKind.DEADLINE_EXCEEDED
            context.receivedTokens > 0 -> ErrorKind.ANSWER_INCOMPLETE
            context.failure == AttemptFailure.INCORRECT_ANSWER -> ErrorKind.ANSWER_INCOMPLETE
            isCertainlyNotSent(context) -> ErrorKind.NO_BACKEND_SERVER
            context.failure == AttemptFailure.DRAINING -> ErrorKind.NO_BACKEND_SERVER
            else -> ErrorKind.BACKEND_FAILED
        }

    private fun executionStatus(context: RetryContext): ExecutionStatus =
        when {
            context.receivedTokens > 0 -> ExecutionStatus.YES
            isCertainlyNotSent(context) -> ExecutionStatus.NO
            else -> ExecutionStatus.UNKNOWN
        }

    private fun isCertainlyNotSent(context: RetryContext): Boolean =
        context.failure == AttemptFailure.NOT_SENT && !context.sentBefore && context.receivedTokens == 0

    companion object {
        /** If this many attempts failed, the cause is more likely the request than the servers. */
        const val MAXIMUM_ATTEMPTS = 4
    }
}
