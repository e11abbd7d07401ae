package io.tarragonport.daemon.intent

/** Outcome of a claim. */
sealed interface ClaimResult {
    /** The request may be sent, once. */
    data class Granted(
        val grant: ClaimGrant,
    ) : ClaimResult

    /** The request ran before; [response] is its recorded response. */
    data class Finished(
        val response: RecordedResponse,
    ) : ClaimResult

    /** The request was started before and its outcome is unknown; it must not be sent again. */
    data object Started : ClaimResult

    /** The idempotency key was used before with a different body. */
    data object DifferentBody : ClaimResult
}
