package io.tarragonport.daemon.caller

import io.tarragonport.api.error.ExecutionStatus
import io.tarragonport.api.error.RequestError
import io.tarragonport.daemon.dispatch.RequestHandle
import io.tarragonport.daemon.dispatch.RequestOutcome
import io.tarragonport.daemon.dispatch.RequestTask

/**
 * Runs prepared requests: registers them so that they can be aborted, and at their end charges the tokens used to the
 * limits or refunds the request if it was not executed.
 */
class PreparedRequestExecutor(
    private val context: CallerContext,
    private val inFlight: InFlightRequests,
) {
    /** Runs [task] to its end; [onSubmit] receives the request handle while the request is queued. */
    suspend fun run(
        request: PreparedRequest,
        task: RequestTask,
        onSubmit: (RequestHandle) -> Unit,
    ): RequestOutcome {
        val id = request.pending.id
        var executed = true
        try {
            val result =
                context.executor.run(request.pending, task, request.markedAsRetry) { handle ->
                    register(request, handle)
                    onSubmit(handle)
                }
            executed =
                result is RequestOutcome.Completed ||
                (result as RequestOutcome.Ended).error.executionStatus != ExecutionStatus.NO
            return result
        } finally {
            inFlight.remove(id)
            if (request.visibleId != id.value) context.traces.addAlias(id, request.visibleId)
            if (executed) charge(request, task) else refund(request)
        }
    }

    private fun register(
        request: PreparedRequest,
        handle: RequestHandle,
    ) {
        val id = request.pending.id
        inFlight.add(
            id,
            request.admission.key,
        ) { error: RequestError -> context.executor.dispatcher.abort(handle, error) }
        context.configuration.current.value
            ?.let { inFlight.recheck(id, it) }
    }

    private fun charge(
        request: PreparedRequest,
        task: RequestTask,
    ) {
        val used = request.pending.promptTokens.toLong() + task.receivedTokens
        val admission = request.admission
        context.limits.charge(admission.organisation.id, admission.key, request.acquiredTokens, used)
    }

    /** Refunds [request] and its tokens to the limits. */
    fun refund(request: PreparedRequest) {
        val admission = request.admission
        context.limits.refund(admission.organisation.id, admission.key, request.acquiredTokens)
    }
}
