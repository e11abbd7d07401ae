package io.tarragonport.core.retry

import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.error.ExecutionStatus

/**
 * Decides on retries by section 13 of the design page.
 *
 * A request runs again only if it is repeatable or no byte of it can have been written, the caller has seen nothing
 * that a second run cannot continue, the deadline and [budget] allow it, and it is not itself a retry. Requests of a
 * server that is gone do not count against the budget.
 */
class RetryPolicy(
    private val budget: RetryBudget,
) {
    /** Decides on one failed run; a positive answer takes from the budget. */
    fun decide(question: RetryContext): RetryDecision {
        val refusal = reasonAgainst(question)
        if (refusal != null) return giveUp(question, refusal)
        if (countsAgainstBudget(question) && !budget.tryTake()) return giveUp(question, "retry budget is used up")
        return if (question.receivedTokens > 0 && question.requestClass.resumable) {
            RetryDecision.Resume("resume after ${question.receivedTokens} tokens: ${question.failure}")
        } else {
            RetryDecision.Restart("run again: ${question.failure}")
        }
    }

    /**
     * The budget keeps retries from overloading servers that are already slow. A server that is gone is no such case:
     * one crash takes all its streams at once, more than the budget of a small deployment, and what they may repeat is
     * bounded by the number of attempts and by holding a request after its second crash.
     */
    private fun countsAgainstBudget(question: RetryContext): Boolean =
        !question.serverCrashed && question.failure != AttemptFailure.NOT_SENT

    private fun reasonAgainst(question: RetryContext): String? =
        when {
            question.deadlinePassed -> "deadline has passed"
            question.markedAsRetry -> "request is already a retry"
            question.attempts >= MAXIMUM_ATTEMPTS -> "request ran ${question.attempts} times"
            question.failure == AttemptFailure.REFUSED -> "server refused the request itself"
            isCertainlyNotSent(question) -> null
            !question.requestClass.repeatable -> "request may not be repeated"
            question.deliveredTokens > 0 && !question.requestClass.resumable -> "answer cannot be continued"
            else -> null
        }

    private fun giveUp(
        question: RetryContext,
        reason: String,
    ): RetryDecision.Fail = RetryDecision.Fail(kind(question), ran(question), reason)

    private fun kind(question: RetryContext): ErrorKind =
        when {
            question.deadlinePassed -> ErrorKind.DEADLINE_EXCEEDED
            question.receivedTokens > 0 -> ErrorKind.ANSWER_INCOMPLETE
            question.failure == AttemptFailure.INCORRECT_ANSWER -> ErrorKind.ANSWER_INCOMPLETE
            isCertainlyNotSent(question) -> ErrorKind.NO_BACKEND_SERVER
            question.failure == AttemptFailure.DRAINING -> ErrorKind.NO_BACKEND_SERVER
            else -> ErrorKind.BACKEND_FAILED
        }

    private fun ran(question: RetryContext): ExecutionStatus =
        when {
            question.receivedTokens > 0 -> ExecutionStatus.YES
            isCertainlyNotSent(question) -> ExecutionStatus.NO
            else -> ExecutionStatus.UNKNOWN
        }

    private fun isCertainlyNotSent(question: RetryContext): Boolean =
        question.failure == AttemptFailure.NOT_SENT && !question.sentBefore && question.receivedTokens == 0

    companion object {
        /** A request that failed on this many servers is more likely at fault than the servers. */
        const val MAXIMUM_ATTEMPTS = 4
    }
}
