package io.tarragonport.daemon.dispatch

import io.tarragonport.core.retry.AttemptFailure

/** Result of one attempt on one server. */
sealed interface AttemptResult {
    /** The complete response was received. */
    data object Completed : AttemptResult

    /** The attempt failed; [reason] is logged and returned by `explain`. */
    data class Failed(
        val failure: AttemptFailure,
        val reason: String,
    ) : AttemptResult

    /** The dispatcher interrupted the attempt. */
    data class Interrupted(
        val signal: DispatchSignal,
    ) : AttemptResult
}
