package io.tarragonport.daemon.dispatch

import io.tarragonport.core.admission.PendingRequest
import io.tarragonport.core.retry.RetryBudget
import io.tarragonport.core.retry.RetryPolicy
import kotlinx.coroutines.CoroutineScope

/**
 * Carries requests from submission to their end: waits for the policy, runs the work, retries, resumes, preempts and
 * cancels. [scope] outlives single requests and runs cancels at backend servers.
 */
class RequestExecutor(
    internal val dispatcher: Dispatcher,
    internal val budget: RetryBudget,
    internal val log: DecisionLog,
    internal val metrics: TrafficMetrics,
    internal val scope: CoroutineScope,
    internal val crashes: CrashReporter = CrashReporter.None,
    private val result: (RequestOutcome) -> RequestOutcome = { it },
) {
    internal val retries = RetryPolicy(budget)
    internal val moves = CacheMoves()

    /**
     * Runs [work] for [request]. [markedAsRetry] tells that another VM or the caller already retries. [onTicket] gets
     * the ticket before the first wait, so that the request can be cut.
     */
    suspend fun run(
        request: PendingRequest,
        work: Work,
        markedAsRetry: Boolean,
        onTicket: (Ticket) -> Unit = {},
    ): RequestOutcome {
        if (!markedAsRetry) budget.requestArrived()
        val ticket = dispatcher.submit(request)
        return result(RequestRun(this, ticket, work, markedAsRetry).run { onTicket(ticket) })
    }
}
