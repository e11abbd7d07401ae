package io.tarragonport.core.admission

import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.error.ExecutionStatus
import io.tarragonport.api.error.RequestError

/** Refusals of waiting requests, with the `ran` value that is true for each of them. */
object QueuedRequestErrors {
    /**
     * A refusal of [request]. It says "not run" only for a request that no server has seen: [startedBefore] tells that
     * this VM sent it once, a resume position that tokens were delivered, a server to avoid that a run failed.
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
