package io.tarragonport.daemon.dispatch

import io.tarragonport.core.retry.RunFailure

/** Result of one attempt on one server. */
sealed interface RunEnd {
    /** The complete response was received. */
    data object Completed : RunEnd

    /** The attempt failed; [reason] is logged. */
    data class Failed(
        val failure: RunFailure,
        val reason: String,
    ) : RunEnd

    /** The dispatcher interrupted the attempt. */
    data class Interrupted(
        val signal: RunSignal,
    ) : RunEnd
}
