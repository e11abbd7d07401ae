package io.tarragonport.daemon.dispatch

import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.error.Ran
import io.tarragonport.api.error.Refusal
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.core.admission.RunOutcome
import io.tarragonport.core.retry.RetryDecision
import io.tarragonport.core.retry.RetryQuestion
import io.tarragonport.core.retry.RunFailure
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
internal class RequestRun(
    private val runner: RequestRunner,
    private val ticket: Ticket,
    private val work: Work,
    private val markedAsRetry: Boolean,
) {
    private val dispatcher = runner.dispatcher
    private var attempts = 0
    private var mayHaveSent = false
    private var outcome = RunOutcome.CANCELLED
    private var openAddress: String? = null
    private var movedCache: MovedCache? = null

    /** Executes the request to its end; the policy is notified of the end in every case. */
    suspend fun run(beforeWaiting: () -> Unit): RunResult {
        var ending = "caller_gone"
        var result: RunResult? = null
        try {
            beforeWaiting()
            result = withTimeoutOrNull(-ticket.request.deadline.elapsedNow()) { loop() } ?: deadlineExceeded()
            ending = if (result is RunResult.Ended) result.refusal.kind.code else "completed"
            return result
        } finally {
            cancelOpenRun()
            dispatcher.close(ticket, outcome, runTokens())
            runner.log.ended(ticket.request, ending)
            runner.metrics.ended(ticket.request.requestClass.id, ending)
            result?.let(::count)
        }
    }

    private fun count(result: RunResult) {
        val requestClass = ticket.request.requestClass.id
        val counters = runner.metrics.classes
        when {
            result is RunResult.Completed -> counters.completed(requestClass, work.metTargets(ticket.request))
            result is RunResult.Ended && result.refusal.ran == Ran.NO -> counters.refused(requestClass)
            else -> counters.failed(requestClass)
        }
    }

    private suspend fun loop(): RunResult {
        while (true) {
            ticket.cut?.let { return ended(it) }
            when (val signal = ticket.signals.receive()) {
                is RunSignal.End -> return ended(signal.refusal)
                is RunSignal.Preempt -> continue
                is RunSignal.Start -> start(signal)?.let { return it }
            }
        }
    }

    /** Runs one attempt; null if the request was submitted again. */
    private suspend fun start(signal: RunSignal.Start): RunResult? {
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
                outcome = RunOutcome.COMPLETED
                return RunResult.Completed(attempts)
            }

            is RunEnd.Interrupted -> return interrupted(end.signal)

            is RunEnd.Failed -> {
                if (end.failure == RunFailure.NOT_SENT) mayHaveSent = sentBefore
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

    /** Waits for a signal; if it requests a migration, exports the KV cache while the stream is still running. */
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

    private fun interrupted(signal: RunSignal): RunResult? {
        if (signal is RunSignal.End) return ended(signal.refusal)
        cancelOpenRun()
        if (!ticket.request.requestClass.resumable) {
            check(work.deliveredTokens == 0) { "preempted a stream that is not resumable" }
            work.restart()
        }
        submitAgain(RunOutcome.CANCELLED, ticket.request.avoid)
        return null
    }

    /**
     * Decides on a retry after a failed attempt. The policy counts [RunOutcome.FAILED] as a crash and holds the request
     * after two, so only a crashed server yields it; an interrupted stream, a connection that could not be opened or an
     * incorrect response does not count against the request.
     */
    private suspend fun failed(
        end: RunEnd.Failed,
        signal: RunSignal.Start,
        sentBefore: Boolean,
    ): RunResult? {
        if (end.failure == RunFailure.INCORRECT_ANSWER || end.failure == RunFailure.INTERRUPTED) cancelOpenRun()
        openAddress = null
        val request = ticket.request
        val loss = serverLoss(end.failure, signal)
        val decision =
            runner.retries.decide(
                RetryQuestion(
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
        if (end.failure == RunFailure.NOT_SENT) dispatcher.unreachable(signal.server)
        val runOutcome = if (loss == ServerLoss.CRASHED) RunOutcome.FAILED else RunOutcome.REJECTED
        return follow(decision, end.failure, signal.server, runOutcome)
    }

    /**
     * Detects a crash and shares it with peers before the request can run again or its caller can repeat it. Not
     * cancellable by a disconnect of the caller or the deadline, because the caller may send the request again.
     */
    private suspend fun serverLoss(
        failure: RunFailure,
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
        failure: RunFailure,
        server: BackendServerId,
        runOutcome: RunOutcome,
    ): RunResult? {
        when (decision) {
            is RetryDecision.GiveUp -> {
                outcome = runOutcome
                return RunResult.Ended(Refusal(decision.kind, decision.reason, decision.ran), attempts)
            }

            is RetryDecision.Restart -> work.restart()

            is RetryDecision.Resume -> Unit
        }
        runner.metrics.retried(failure.name.lowercase())
        submitAgain(runOutcome, ticket.request.avoid + server)
        return null
    }

    private fun submitAgain(
        outcome: RunOutcome,
        avoid: Set<BackendServerId>,
    ) {
        openAddress = null
        val generated = runTokens()
        val again = ticket.request.copy(resumedTokens = work.receivedTokens, avoid = avoid)
        dispatcher.resubmit(ticket, outcome, generated, again)
    }

    /** Tokens of the current attempt, without those resumed from earlier attempts. */
    private fun runTokens(): Int = (work.receivedTokens - ticket.request.resumedTokens).coerceAtLeast(0)

    private fun ended(refusal: Refusal): RunResult = RunResult.Ended(refusal.copy(ran = ran()), attempts)

    private fun deadlineExceeded(): RunResult =
        ended(Refusal(ErrorKind.DEADLINE_EXCEEDED, "the response was not complete by the deadline", Ran.UNKNOWN))

    private fun ran(): Ran =
        when {
            work.receivedTokens > 0 -> Ran.YES
            mayHaveSent -> Ran.UNKNOWN
            else -> Ran.NO
        }

    /** Cancels the current attempt on its server, without waiting for the response. */
    private fun cancelOpenRun() {
        val address = openAddress ?: return
        openAddress = null
        val request = ticket.request
        val attempt = attempts
        runner.scope.launch { work.cancel(address, request, attempt) }
    }

    private companion object {
        /** A crashing engine may close the connection or still respond with an error. */
        val MAY_BE_CRASH = setOf(RunFailure.INTERRUPTED, RunFailure.UNAVAILABLE)
    }
}
