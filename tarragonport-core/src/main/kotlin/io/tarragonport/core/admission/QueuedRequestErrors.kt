package io.tarragonport.core.admission

import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.error.ExecutionStatus
import io.tarragonport.api.error.RequestError

/** Errors with which waiting requests are refused, with the `ran` value that applies to each. */
object QueuedRequestErrors {
    /**
     * A refusal of [request], with `ran: no` only if no server has received it. It is `yes` if the request has a resume
     * position, because tokens were then delivered. It is `unknown` if this VM has sent the request before
     * ([startedBefore]) or if there are servers to avoid, because an attempt on them failed.
     */
    fun of(
        kind: ErrorKind,
        message: String,
        request: PendingRequest,
        startedBefore: Boolean = false,
    ): DispatchDecision.Refuse {
        val executionStatus =
            when {
                request.resumedTokens > 0 -> ExecutionStatus.YES
                startedBefore || request.failedServers.isNotEmpty() -> ExecutionStatus.UNKNOWN
                else -> ExecutionStatus.NO
            }
        return DispatchDecision.Refuse(request.id, RequestError(kind, message, executionStatus))
    }
}
