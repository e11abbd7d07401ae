package io.tarragonport.daemon.caller

import io.tarragonport.api.error.Ran
import io.tarragonport.api.error.Refusal
import io.tarragonport.daemon.dispatch.RunResult
import io.tarragonport.daemon.dispatch.Ticket
import io.tarragonport.daemon.dispatch.Work

/** Runs prepared requests: registers them so that they can be aborted, and settles their limits at the end. */
class Execution(
    private val context: CallerContext,
    private val inFlight: InFlight,
) {
    /** Runs [work] to its end; [onTicket] receives the ticket while the request is queued. */
    suspend fun run(
        request: PreparedRequest,
        work: Work,
        onTicket: (Ticket) -> Unit,
    ): RunResult {
        val id = request.pending.id
        var ran = true
        try {
            val result =
                context.runner.run(request.pending, work, request.markedAsRetry) { ticket ->
                    register(request, ticket)
                    onTicket(ticket)
                }
            ran = result is RunResult.Completed || (result as RunResult.Ended).refusal.ran != Ran.NO
            return result
        } finally {
            inFlight.remove(id)
            if (request.visibleId != id.value) context.traces.name(id, request.visibleId)
            if (ran) charge(request, work) else refund(request)
        }
    }

    private fun register(
        request: PreparedRequest,
        ticket: Ticket,
    ) {
        val id = request.pending.id
        inFlight.add(id, request.admission.key) { refusal: Refusal -> context.runner.dispatcher.cut(ticket, refusal) }
        context.configuration.current.value
            ?.let { inFlight.recheck(id, it) }
    }

    private fun charge(
        request: PreparedRequest,
        work: Work,
    ) {
        val used = request.pending.promptTokens.toLong() + work.receivedTokens
        val admission = request.admission
        context.limits.charge(admission.organisation.id, admission.key, request.acquiredTokens, used)
    }

    /** Refunds what [request] consumed of the limits. */
    fun refund(request: PreparedRequest) {
        val admission = request.admission
        context.limits.refund(admission.organisation.id, admission.key, request.acquiredTokens)
    }
}
