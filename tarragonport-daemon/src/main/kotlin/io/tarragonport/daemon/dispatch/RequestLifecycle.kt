package io.tarragonport.daemon.dispatch

import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.error.ExecutionStatus
import io.tarragonport.api.error.RequestError
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.core.admission.DispatchOutcome
import io.tarragonport.core.retry.AttemptFailure
import io.tarragonport.core.retry.RetryContext
import io.tarragonport.core.retry.RetryDecision
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull

/** Executes one request through queueing, attempts, retries and preemptions. Confined to one coroutine. */
internal class RequestLifecycle(
    private val executor: RequestExecutor,
    private val handle: RequestHandle,
    private val task: RequestTask,
    private val markedAsRetry: Boolean,
) {
    private val dispatcher = executor.dispatcher
    private var attempts = 0
    private var mayHaveSent = false
    private var outcome = DispatchOutcome.CANCELLED
    private var activeAddress: String? = null
    private var exportedCache: ExportedCache? = null

    /** Executes the request to its end; the policy is notified of the end in every case. */
    suspend fun run(beforeWaiting: () -> Unit): RequestOutcome {
        var outcomeCode = "caller_gone"
        var result: RequestOutcome? = null
        try {
            beforeWaiting()
            result = withTimeoutOrNull(-handle.request.deadline.elapsedNow()) { loop() } ?: deadlineExceeded()
            outcomeCode = if (result is RequestOutcome.Ended) result.error.kind.code else "completed"
            return result
        } finally {
            cancelAttempt()
            dispatcher.close(handle, outcome, attemptTokens())
            executor.log.ended(handle.request, outcomeCode)
            executor.metrics.ended(handle.request.requestClass.id, outcomeCode)
            result?.let(::count)
        }
    }

    private fun count(result: RequestOutcome) {
        val requestClass = handle.request.requestClass.id
        val counters = executor.metrics.classes
        when {
            result is RequestOutcome.Completed ->
                counters.completed(
                    requestClass,
                    task.metLatencyObjectives(handle.request),
                )
            result is RequestOutcome.Ended && result.error.executionStatus == ExecutionStatus.NO ->
                counters.refused(requestClass)
            else -> counters.failed(requestClass)
        }
    }

    private suspend fun loop(): RequestOutcome {
        while (true) {
            handle.abortError?.let { return ended(it) }
            when (val signal = handle.signals.receive()) {
                is DispatchSignal.End -> return ended(signal.error)
                is DispatchSignal.Preempt -> continue
                is DispatchSignal.Start -> start(signal)?.let { return it }
            }
        }
    }

    /** Runs one attempt; returns null if the request was submitted again. */
    private suspend fun start(signal: DispatchSignal.Start): RequestOutcome? {
        val request = handle.request
        if (attempts == 0) executor.metrics.queued(request.requestClass.id, request.arrival.elapsedNow())
        attempts++
        val sentBefore = mayHaveSent
        mayHaveSent = true
        activeAddress = signal.address
        val result = runInterruptibly(signal)
        when (result) {
            AttemptResult.Completed -> {
                activeAddress = null
                outcome = DispatchOutcome.COMPLETED
                return RequestOutcome.Completed(attempts)
            }

            is AttemptResult.Interrupted -> return interrupted(result.signal)

            is AttemptResult.Failed -> {
                if (result.failure == AttemptFailure.NOT_SENT) mayHaveSent = sentBefore
                return failed(result, signal, sentBefore)
            }
        }
    }

    private suspend fun runInterruptibly(signal: DispatchSignal.Start): AttemptResult {
        if (!task.interruptible) return task.runOn(signal.address, handle.request, attempts)
        var interruption: DispatchSignal? = null
        return coroutineScope {
            val attempt =
                async {
                    importCache(signal.address)
                    task.runOn(signal.address, handle.request, attempts)
                }
            val listener =
                launch {
                    interruption = awaitInterruption(signal.address)
                    attempt.cancel()
                }
            try {
                attempt.await()
            } catch (cause: CancellationException) {
                currentCoroutineContext().ensureActive()
                AttemptResult.Interrupted(interruption ?: throw cause)
            } finally {
                listener.cancel()
            }
        }
    }

    /** Waits for a signal; if it requests a migration, exports the KV cache while the stream is still running. */
    private suspend fun awaitInterruption(address: String): DispatchSignal {
        val signal = handle.signals.receive()
        val request = handle.request
        val migrates = signal is DispatchSignal.Preempt && signal.beneficiary == request.id
        if (!migrates || !request.requestClass.resumable || !isWorthExporting()) return signal
        return coroutineScope {
            val order = (signal as DispatchSignal.Preempt).order
            val export = async { executor.migrator.export(task, request, attempts, address, order) }
            select {
                export.onAwait {
                    exportedCache = it
                    signal
                }
                handle.signals.onReceive {
                    export.cancel()
                    it
                }
            }
        }
    }

    private fun isWorthExporting(): Boolean =
        task.receivedTokens > 0 && handle.request.promptTokens + task.receivedTokens >= CacheMigrator.MINIMUM_TOKENS

    private suspend fun importCache(target: String) {
        val exported = exportedCache ?: return
        exportedCache = null
        if (exported.source == target) return
        executor.migrator.import(task, handle.request, attempts, target, exported)
    }

    private fun interrupted(signal: DispatchSignal): RequestOutcome? {
        if (signal is DispatchSignal.End) return ended(signal.error)
        cancelAttempt()
        if (!handle.request.requestClass.resumable) {
            check(task.deliveredTokens == 0) { "preempted a stream that is not resumable" }
            task.restart()
        }
        resubmit(DispatchOutcome.CANCELLED, handle.request.failedServers)
        return null
    }

    /**
     * Decides on a retry after a failed attempt. The policy counts [DispatchOutcome.FAILED] as a crash and holds the
     * request after two, so only a crashed server yields it; an interrupted stream, a connection that could not be
     * opened or an incorrect response does not count against the request.
     */
    private suspend fun failed(
        end: AttemptResult.Failed,
        signal: DispatchSignal.Start,
        sentBefore: Boolean,
    ): RequestOutcome? {
        if (end.failure == AttemptFailure.INCORRECT_ANSWER || end.failure == AttemptFailure.INTERRUPTED) cancelAttempt()
        activeAddress = null
        val request = handle.request
        val loss = serverLoss(end.failure, signal)
        val decision =
            executor.retries.decide(
                RetryContext(
                    requestClass = request.requestClass,
                    failure = end.failure,
                    attempts = attempts,
                    sentBefore = sentBefore,
                    receivedTokens = task.receivedTokens,
                    deliveredTokens = task.deliveredTokens,
                    markedAsRetry = markedAsRetry,
                    deadlinePassed = request.deadline.hasPassedNow(),
                    serverCrashed = loss != ServerLoss.NONE,
                ),
            )
        executor.log.failed(request, signal.server, "${end.failure}: ${end.reason}", decision.reason)
        if (end.failure == AttemptFailure.NOT_SENT) dispatcher.unreachable(signal.server)
        val attemptOutcome = if (loss == ServerLoss.CRASHED) DispatchOutcome.FAILED else DispatchOutcome.REJECTED
        return applyDecision(decision, end.failure, signal.server, attemptOutcome)
    }

    /**
     * Detects a crash and shares it with peers before the request can run again or its caller can repeat it. Not
     * cancellable by a disconnect of the caller or the deadline, because the caller may send the request again.
     */
    private suspend fun serverLoss(
        failure: AttemptFailure,
        signal: DispatchSignal.Start,
    ): ServerLoss =
        withContext(NonCancellable) {
            val terminated = failure in MAY_BE_CRASH && task.hasCrashed(signal.address)
            if (terminated) dispatcher.unreachable(signal.server)
            when {
                !terminated -> ServerLoss.NONE

                dispatcher.isLeaveAnnounced(signal.server) -> ServerLoss.LEFT

                else -> {
                    executor.log.crashed(handle.request, signal.server)
                    executor.crashes.crashed(handle.request, signal.server)
                    ServerLoss.CRASHED
                }
            }
        }

    private fun applyDecision(
        decision: RetryDecision,
        failure: AttemptFailure,
        server: BackendServerId,
        attemptOutcome: DispatchOutcome,
    ): RequestOutcome? {
        when (decision) {
            is RetryDecision.Fail -> {
                outcome = attemptOutcome
                return RequestOutcome.Ended(
                    RequestError(decision.kind, decision.reason, decision.executionStatus),
                    attempts,
                )
            }

            is RetryDecision.Restart -> task.restart()

            is RetryDecision.Resume -> Unit
        }
        executor.metrics.retried(failure.name.lowercase())
        resubmit(attemptOutcome, handle.request.failedServers + server)
        return null
    }

    private fun resubmit(
        outcome: DispatchOutcome,
        failedServers: Set<BackendServerId>,
    ) {
        activeAddress = null
        val generated = attemptTokens()
        val request = handle.request.copy(resumedTokens = task.receivedTokens, failedServers = failedServers)
        dispatcher.resubmit(handle, outcome, generated, request)
    }

    /** Tokens of the current attempt, without those resumed from earlier attempts. */
    private fun attemptTokens(): Int = (task.receivedTokens - handle.request.resumedTokens).coerceAtLeast(0)

    private fun ended(error: RequestError): RequestOutcome =
        RequestOutcome.Ended(error.copy(executionStatus = executionStatus()), attempts)

    private fun deadlineExceeded(): RequestOutcome =
        ended(
            RequestError(
                ErrorKind.DEADLINE_EXCEEDED,
                "the answer was not complete in time",
                ExecutionStatus.UNKNOWN,
            ),
        )

    private fun executionStatus(): ExecutionStatus =
        when {
            task.receivedTokens > 0 -> ExecutionStatus.YES
            mayHaveSent -> ExecutionStatus.UNKNOWN
            else -> ExecutionStatus.NO
        }

    /** Cancels the current attempt on its server, without waiting for the response. */
    private fun cancelAttempt() {
        val address = activeAddress ?: return
        activeAddress = null
        val request = handle.request
        val attempt = attempts
        executor.scope.launch { task.cancel(address, request, attempt) }
    }

    private companion object {
        /** A crashing engine may close the connection or still respond with an error. */
        val MAY_BE_CRASH = setOf(AttemptFailure.INTERRUPTED, AttemptFailure.UNAVAILABLE)
    }
}
