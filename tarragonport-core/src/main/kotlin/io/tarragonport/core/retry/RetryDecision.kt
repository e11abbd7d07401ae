package io.tarragonport.core.retry

import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.error.ExecutionStatus

/** Whether a failed request runs again; [reason] goes to the log. */
sealed interface RetryDecision {
    val reason: String

    /** Continue on another server after the tokens already received. */
    data class Resume(
        override val reason: String,
    ) : RetryDecision

    /** Run the request again from its start on another server. */
    data class Restart(
        override val reason: String,
    ) : RetryDecision

    /** Tell the caller. */
    data class Fail(
        val kind: ErrorKind,
        val ran: ExecutionStatus,
        override val reason: String,
    ) : RetryDecision
}
