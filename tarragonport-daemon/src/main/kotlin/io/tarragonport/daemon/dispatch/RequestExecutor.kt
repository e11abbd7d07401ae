package io.tarragonport.daemon.dispatch

import io.tarragonport.core.admission.PendingRequest
import io.tarragonport.core.retry.RetryBudget
import io.tarragonport.core.retry.RetryPolicy
import kotlinx.coroutines.CoroutineScope

/**
 * Executes requests from submission to their end: waits for the policy, runs attempts, retries, resumes, preempts and
 * cancels. [scope] outlives single requests and runs cancel calls to backend servers. [mapOutcome] maps the outcome
 * that is returned; fault-injection runs replace it.
 */
class RequestExecutor(
    internal val dispatcher: Dispatcher,
    internal val budget: RetryBudget,
    internal val log: DecisionLog,
    internal val metrics: TrafficMetrics,
    internal val scope: CoroutineScope,
    internal val crashes: CrashReporter = CrashReporter.None,
    private val mapOutcome: (RequestOutcome) -> RequestOutcome = { it },
) {
    internal val retries = RetryPolicy(budget)
    internal val migrator = CacheMigrator()

    /**
     * Runs [task] for [request]. [markedAsRetry] is true if the caller or another VM sent the request as a retry.
     * [onSubmit] receives the request handle before the first wait, so that the request can be aborted.
     */
    suspend fun run(
        request: PendingRequest,
        task: RequestTask,
        markedAsRetry: Boolean,
        onSubmit: (RequestHandle) -> Unit = {},
    ): RequestOutcome {
        if (!markedAsRetry) budget.requestArrived()
        val handle = dispatcher.submit(request)
        return mapOutcome(RequestLifecycle(this, handle, task, markedAsRetry).run { onSubmit(handle) })
    }
}
