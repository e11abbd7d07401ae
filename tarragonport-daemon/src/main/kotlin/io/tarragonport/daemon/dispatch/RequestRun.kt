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

/** One request on its way through waits, runs, retries and preemptions. Used by one coroutine. */
internal class RequestRun(
    private val runner: RequestExecutor,
    private val ticket: Ticket,
    private val work: Work,
    private val markedAsRetry: Boolean,
) {
    private val dispatcher = runner.dispatcher
    private var attempts = 0
    private var mayHaveSent = false
    private var outcome = DispatchOutcome.CANCELLED
    private var openAddress: String? = null
    private var movedCache: MovedCache? = null

    /** Runs to the end; whatever happens, the policy learns that the request is over. */
    suspend fun run(beforeWaiting: () -> Unit): RequestOutcome {
        var ending = "caller_gone"
        var result: RequestOutcome? = null
        try {
            beforeWaiting()
            result = withTimeoutOrNull(-ticket.request.deadline.elapsedNow()) { loop() } ?: deadlineExceeded()
            ending = if (result is RequestOutcome.Ended) result.error.kind.code else "completed"
            return result
        } finally {
            cancelOpenRun()
            dispatcher.close(ticket, outcome, runTokens())
            runner.log.ended(ticket.request, ending)
            runner.metrics.ended(ticket.request.requestClass.id, ending)
            result?.let(::count)
        }
    }

    private fun count(result: RequestOutcome) {
        val requestClass = ticket.request.requestClass.id
        val counters = runner.metrics.classes
        when {
            result is RequestOutcome.Completed -> counters.completed(requestClass, work.metTargets(ticket.request))
            result is RequestOutcome.Ended && result.error.ran == ExecutionStatus.NO -> counters.refused(requestClass)
            else -> counters.failed(requestClass)
        }
    }

    private suspend fun loop(): RequestOutcome {
        while (true) {
            ticket.cut?.let { return ended(it) }
            when (val signal = ticket.signals.receive()) {
                is RunSignal.End -> return ended(signal.error)
                is RunSignal.Preempt -> continue
                is RunSignal.Start -> start(signal)?.let { return it }
            }
        }
    }

    /** Runs once; null if the request waits again. */
    private suspend fun start(signal: RunSignal.Start): RequestOutcome? {
        val request = ticket.request
        if (attempts == 0) runner.metrics.queued(request.requestClass.id, request.arrival.elapsedNow())
        attempts++
        val sentBefore = mayHaveSent
        mayHaveSent = true
        openAddress = signal.address
        val end = runInterruptibly(signal)
        when (end) {
            RunEnd.Completed -> {
                openAddress = null
                outcome = DispatchOutcome.COMPLETED
                return RequestOutcome.Completed(attempts)
            }

            is RunEnd.Interrupted -> return interrupted(end.signal)

            is RunEnd.Failed -> {
                if (end.failure == AttemptFailure.NOT_SENT) mayHaveSent = sentBefore
                return failed(end, signal, sentBefore)
            }
        }
    }

    private suspend fun runInterruptibly(signal: RunSignal.Start): RunEnd {
        if (!work.interruptible) return work.runOn(signal.address, ticket.request, attempts)
        var interruption: RunSignal? = null
        return coroutineScope {
            val run =
                async {
                    importCache(signal.address)
                    work.runOn(signal.address, ticket.request, attempts)
                }
            val listener =
                launch {
                    interruption = awaitInterruption(signal.address)
                    run.cancel()
                }
            try {
                run.await()
            } catch (cause: CancellationException) {
                currentCoroutineContext().ensureActive()
                RunEnd.Interrupted(interruption ?: throw cause)
            } finally {
                listener.cancel()
            }
        }
    }

    /** Waits for a signal; if the stream has to move, its KV cache is exported while it still runs. */
    private suspend fun awaitInterruption(address: String): RunSignal {
        val signal = ticket.signals.receive()
        val request = ticket.request
        val moves = signal is RunSignal.Preempt && signal.beneficiary == request.id
        if (!moves || !request.requestClass.resumable || !isWorthMoving()) return signal
        return coroutineScope {
            val number = (signal as RunSignal.Preempt).order
            val export = async { runner.moves.export(work, request, attempts, address, number) }
            select {
                export.onAwait {
                    movedCache = it
                    signal
                }
                ticket.signals.onReceive {
                    export.cancel()
                    it
                }
            }
        }
    }

    private fun isWorthMoving(): Boolean =
        work.receivedTokens > 0 && ticket.request.promptTokens + work.receivedTokens >= CacheMoves.MINIMUM_TOKENS

    private suspend fun importCache(target: String) {
        val moved = movedCache ?: return
        movedCache = null
        if (moved.source == target) return
        runner.moves.import(work, ticket.request, attempts, target, moved)
    }

    private fun interrupted(signal: RunSignal): RequestOutcome? {
        if (signal is RunSignal.End) return ended(signal.error)
        cancelOpenRun()
        if (!ticket.request.requestClass.resumable) {
            check(work.deliveredTokens == 0) { "a stream that cannot be resumed was preempted" }
            work.restart()
        }
        submitAgain(DispatchOutcome.CANCELLED, ticket.request.avoid)
        return null
    }

    /**
     * The policy takes [DispatchOutcome.FAILED] for a crash and holds the request after two, so only a server that is gone
     * counts; a cut stream, a connection that was never opened or a wrong answer does not accuse the request.
     */
    private suspend fun failed(
        end: RunEnd.Failed,
        signal: RunSignal.Start,
        sentBefore: Boolean,
    ): RequestOutcome? {
        if (end.failure == AttemptFailure.INCORRECT_ANSWER || end.failure == AttemptFailure.INTERRUPTED) cancelOpenRun()
        openAddress = null
        val request = ticket.request
        val loss = serverLoss(end.failure, signal)
        val decision =
            runner.retries.decide(
                RetryContext(
                    requestClass = request.requestClass,
                    failure = end.failure,
                    attempts = attempts,
                    sentBefore = sentBefore,
                    receivedTokens = work.receivedTokens,
                    deliveredTokens = work.deliveredTokens,
                    markedAsRetry = markedAsRetry,
                    deadlinePassed = request.deadline.hasPassedNow(),
                    serverCrashed = loss != ServerLoss.NONE,
                ),
            )
        runner.log.failed(request, signal.server, "${end.failure}: ${end.reason}", decision.reason)
        if (end.failure == AttemptFailure.NOT_SENT) dispatcher.unreachable(signal.server)
        val runOutcome = if (loss == ServerLoss.CRASHED) DispatchOutcome.FAILED else DispatchOutcome.REJECTED
        return follow(decision, end.failure, signal.server, runOutcome)
    }

    /**
     * Finds out about a crash and shares it before the request can run again or its caller can repeat it. Not cancelled
     * when the caller leaves or the deadline passes, because the request may come again.
     */
    private suspend fun serverLoss(
        failure: AttemptFailure,
        signal: RunSignal.Start,
    ): ServerLoss =
        withContext(NonCancellable) {
            val gone = failure in MAY_BE_CRASH && work.hasCrashed(signal.address)
            if (gone) dispatcher.unreachable(signal.server)
            when {
                !gone -> ServerLoss.NONE

                dispatcher.isLeaveAnnounced(signal.server) -> ServerLoss.LEFT

                else -> {
                    runner.log.crashed(ticket.request, signal.server)
                    runner.crashes.crashed(ticket.request, signal.server)
                    ServerLoss.CRASHED
                }
            }
        }

    private fun follow(
        decision: RetryDecision,
        failure: AttemptFailure,
        server: BackendServerId,
        runOutcome: DispatchOutcome,
    ): RequestOutcome? {
        when (decision) {
            is RetryDecision.Fail -> {
                outcome = runOutcome
                return RequestOutcome.Ended(RequestError(decision.kind, decision.reason, decision.ran), attempts)
            }

            is RetryDecision.Restart -> work.restart()

            is RetryDecision.Resume -> Unit
        }
        runner.metrics.retried(failure.name.lowercase())
        submitAgain(runOutcome, ticket.request.avoid + server)
        return null
    }

    private fun submitAgain(
        outcome: DispatchOutcome,
        avoid: Set<BackendServerId>,
    ) {
        openAddress = null
        val generated = runTokens()
        val again = ticket.request.copy(resumedTokens = work.receivedTokens, avoid = avoid)
        dispatcher.resubmit(ticket, outcome, generated, again)
    }

    /** Tokens of the current run, without those resumed from earlier ones. */
    private fun runTokens(): Int = (work.receivedTokens - ticket.request.resumedTokens).coerceAtLeast(0)

    private fun ended(error: RequestError): RequestOutcome = RequestOutcome.Ended(error.copy(ran = ran()), attempts)

    private fun deadlineExceeded(): RequestOutcome =
        ended(RequestError(ErrorKind.DEADLINE_EXCEEDED, "the answer was not complete in time", ExecutionStatus.UNKNOWN))

    private fun ran(): ExecutionStatus =
        when {
            work.receivedTokens > 0 -> ExecutionStatus.YES
            mayHaveSent -> ExecutionStatus.UNKNOWN
            else -> ExecutionStatus.NO
        }

    /** Tells the server to stop, without waiting for its answer. */
    private fun cancelOpenRun() {
        val address = openAddress ?: return
        openAddress = null
        val request = ticket.request
        val attempt = attempts
        runner.scope.launch { work.cancel(address, request, attempt) }
    }

    private companion object {
        /** A dying engine may break the connection or still answer with an error of its own. */
        val MAY_BE_CRASH = setOf(AttemptFailure.INTERRUPTED, AttemptFailure.UNAVAILABLE)
    }
}
