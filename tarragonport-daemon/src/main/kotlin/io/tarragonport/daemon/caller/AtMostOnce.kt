package io.tarragonport.daemon.caller

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.tarragonport.api.error.Ran
import io.tarragonport.api.error.Refusal
import io.tarragonport.daemon.dispatch.Dispatcher
import io.tarragonport.daemon.intent.ClaimGrant
import io.tarragonport.daemon.intent.ClaimResult
import io.tarragonport.daemon.intent.IntentRegistry
import io.tarragonport.daemon.intent.RecordedAnswer
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.Base64
import kotlin.time.Duration.Companion.seconds

/**
 * Runs requests that must not be repeated: claims the intent before anything is sent, then runs independently of the
 * caller's connection, so that the response is recorded even if the caller disconnects.
 */
class AtMostOnce(
    private val intents: IntentRegistry,
    private val dispatcher: Dispatcher,
    private val scope: CoroutineScope,
) {
    /** Runs [execute] at most once for the idempotency key of [request]; a duplicate receives the recorded response. */
    suspend fun run(
        request: PreparedRequest,
        execute: suspend (CallerState) -> Either<Refusal, RecordedAnswer>,
    ): AtMostOnceResult {
        val callerState = CallerState(dispatcher)
        val result = scope.async { claimAndRun(request, callerState, execute) }
        try {
            return result.await()
        } catch (cause: CancellationException) {
            callerState.disconnect()
            throw cause
        }
    }

    private suspend fun claimAndRun(
        request: PreparedRequest,
        callerState: CallerState,
        execute: suspend (CallerState) -> Either<Refusal, RecordedAnswer>,
    ): AtMostOnceResult {
        val claim =
            intents.claim(
                request.admission.organisation.id,
                checkNotNull(request.idempotencyKey),
                request.bodyDigest,
                request.admission.requestClass.retentionHours,
            )
        return claim.fold({ notRun(it.copy(ran = Ran.NO)) }) { result ->
            when (result) {
                is ClaimResult.Granted -> runGranted(result.grant, callerState, execute)
                is ClaimResult.Finished -> AtMostOnceResult(result.answer.right(), executedNow = false)
                ClaimResult.Started -> notRun(Refusals.outcomeUnknown)
                ClaimResult.DifferentBody -> notRun(Refusals.idempotencyKeyReused)
            }
        }
    }

    private fun notRun(refusal: Refusal) = AtMostOnceResult(refusal.left(), executedNow = false)

    private suspend fun runGranted(
        grant: ClaimGrant,
        callerState: CallerState,
        execute: suspend (CallerState) -> Either<Refusal, RecordedAnswer>,
    ): AtMostOnceResult {
        val answer = if (callerState.disconnected) Refusals.callerGone.left() else executeSafely(callerState, execute)
        val refusal = answer.leftOrNull()
        if (refusal != null && refusal.ran == Ran.NO) {
            settle { intents.release(grant) }
            return notRun(refusal)
        }
        val recorded = answer.fold(::record) { it }
        settle { intents.finish(grant, recorded) }
        return AtMostOnceResult(answer, executedNow = true)
    }

    /** After an internal error of the daemon it is unknown whether the request was sent. */
    private suspend fun executeSafely(
        callerState: CallerState,
        execute: suspend (CallerState) -> Either<Refusal, RecordedAnswer>,
    ): Either<Refusal, RecordedAnswer> =
        try {
            execute(callerState)
        } catch (_: Exception) {
            Refusals.outcomeUnknown.left()
        }

    /** Waits up to [SETTLE_TIMEOUT] so that an immediate repeat finds the outcome, but not for an unavailable store. */
    private suspend fun settle(block: suspend () -> Unit) {
        val job = scope.launch { block() }
        withTimeoutOrNull(SETTLE_TIMEOUT) { job.join() }
    }

    private fun record(refusal: Refusal): RecordedAnswer {
        val body = Base64.getEncoder().encodeToString(AnswerFormat.error(refusal).toByteArray())
        return RecordedAnswer(refusal.kind.status, "application/json", body)
    }

    companion object {
        private val SETTLE_TIMEOUT = 1.seconds
    }
}
