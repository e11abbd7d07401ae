package io.tarragonport.core.admission

import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.error.ExecutionStatus
import io.tarragonport.api.error.RequestError

/** Errors with which waiting requests are refused, with the `ran` value that applies to each. */
object QueuedRequestErrors {
    /**
     * A refusal of [request], with `ran: no` only if no server has received it. [startedBefore] is set if this VM has
     * sent it before; a resume position means that tokens were delivered, a server to avoid that an attempt failed.
     */
    fun of(
        kind: ErrorKind,
        message: String,
        request: PendingRequest,
        startedBefore: Boolean = false,
    ): Decision.Refuse {
        val ran =
            when {
                request.resumedTokens > 0 -> ExecutionStatus.YES
                startedBefore || request.avoid.isNotEmpty() -> ExecutionStatus.UNKNOWN
                else -> ExecutionStatus.NO
            }
        return Decision.Refuse(request.id, RequestError(kind, message, ran))
    }
}
