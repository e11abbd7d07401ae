package io.tarragonport.daemon.intent

/** Outcome of a claim. */
sealed interface ClaimResult {
    /** The request may be sent, once. */
    data class Granted(
        val grant: ClaimGrant,
    ) : ClaimResult

    /** The request ran before; [answer] is its recorded answer. */
    data class Finished(
        val answer: RecordedResponse,
    ) : ClaimResult

    /** The request was started before and its outcome is not known; it must not be sent again. */
    data object Started : ClaimResult

    /** The idempotency key was used before with another body. */
    data object DifferentBody : ClaimResult
}
