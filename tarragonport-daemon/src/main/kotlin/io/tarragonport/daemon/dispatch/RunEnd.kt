package io.tarragonport.daemon.dispatch

import io.tarragonport.core.retry.AttemptFailure

/** How one run on one server ended. */
sealed interface RunEnd {
    /** The whole answer arrived. */
    data object Completed : RunEnd

    /** The run failed; [reason] goes to the log. */
    data class Failed(
        val failure: AttemptFailure,
        val reason: String,
    ) : RunEnd

    /** The dispatcher ended the run. */
    data class Interrupted(
        val signal: RunSignal,
    ) : RunEnd
}
