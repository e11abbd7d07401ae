package io.tarragonport.core.retry

import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.error.ExecutionStatus

/**
 * Decides whether a failed request is retried, so that no retry runs a request twice that must not be repeated and
 * retries do not overload the servers.
 *
 * A request runs again only if it is repeatable or no byte of it can have been written, the caller has received nothing
 * that a second run cannot continue, the deadline and [budget] allow it, and it is not itself a retry. Requests of a
 * crashed server do not count against the budget.
 */
class RetryPolicy(
    private val budget: RetryBudget,
) {
    /** Decides on one failed run; a retry may take from the budget. */
    fun decide(question: RetryContext): RetryDecision {
        val refusal = reasonAgainst(question)
        if (refusal != null) return fail(question, refusal)
        if (countsAgainstBudget(question) && !budget.tryTake()) return fail(question, "retry budget is exhausted")
        return if (question.receivedTokens > 0 && question.requestClass.resumable) {
            RetryDecision.Resume("resume after ${question.receivedTokens} tokens: ${question.failure}")
        } else {
            RetryDecision.Restart("run again: ${question.failure}")
        }
    }

    /**
     * The budget prevents retries from overloading servers that are already slow. This does not apply to a crashed
     * server: one crash interrupts all its streams at once, more than the budget of a small deployment allows, and
     * their retries are bounded by the number of attempts and by holding a request after its second crash.
     */
    private fun countsAgainstBudget(question: RetryContext): Boolean =
        !question.serverCrashed && question.failure != AttemptFailure.NOT_SENT

    private fun reasonAgainst(question: RetryContext): String? =
        when {
            question.deadlinePassed -> "deadline has passed"
            question.markedAsRetry -> "request is already a retry"
            question.attempts >= MAXIMUM_ATTEMPTS -> "request was attempted ${question.attempts} times"
            question.failure == AttemptFailure.REFUSED -> "server rejected the request as invalid"
            isCertainlyNotSent(question) -> null
            !question.requestClass.repeatable -> "request may not be repeated"
            question.deliveredTokens > 0 && !question.requestClass.resumable -> "response cannot be resumed"
            else -> null
        }

    private fun fail(
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
        /** If this many attempts failed, the cause is more likely the request than the servers. */
        const val MAXIMUM_ATTEMPTS = 4
    }
}
