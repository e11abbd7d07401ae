package io.tarragonport.core.retry

import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.error.ExecutionStatus

/** Whether a failed request runs again; [reason] is logged. */
sealed interface RetryDecision {
    val reason: String

    /** Continue on another server after the tokens already received. */
    data class Resume(
        override val reason: String,
    ) : RetryDecision

    /** Run the request again from the beginning on another server. */
    data class Restart(
        override val reason: String,
    ) : RetryDecision

    /** Do not retry: return an error of [kind] to the caller. */
    data class Fail(
        val kind: ErrorKind,
        val executionStatus: ExecutionStatus,
        override val reason: String,
    ) : RetryDecision
}
