package io.tarragonport.daemon.caller

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.tarragonport.api.error.ExecutionStatus
import io.tarragonport.api.error.RequestError
import io.tarragonport.daemon.dispatch.Dispatcher
import io.tarragonport.daemon.intent.ClaimGrant
import io.tarragonport.daemon.intent.ClaimResult
import io.tarragonport.daemon.intent.IntentRegistry
import io.tarragonport.daemon.intent.RecordedResponse
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
        execute: suspend (CallerState) -> Either<RequestError, RecordedResponse>,
    ): AtMostOnceResult {
        val caller = CallerState(dispatcher)
        val result = scope.async { claimAndRun(request, caller, execute) }
        try {
            return result.await()
        } catch (cause: CancellationException) {
            caller.disconnect()
            throw cause
        }
    }

    private suspend fun claimAndRun(
        request: PreparedRequest,
        caller: CallerState,
        execute: suspend (CallerState) -> Either<RequestError, RecordedResponse>,
    ): AtMostOnceResult {
        val claim =
            intents.claim(
                request.admission.organisation.id,
                checkNotNull(request.idempotencyKey),
                request.bodyDigest,
                request.admission.requestClass.retentionHours,
            )
        return claim.fold({ notExecuted(it.copy(executionStatus = ExecutionStatus.NO)) }) { result ->
            when (result) {
                is ClaimResult.Granted -> runGranted(result.grant, caller, execute)
                is ClaimResult.Finished -> AtMostOnceResult(result.response.right(), executedNow = false)
                ClaimResult.Started -> notExecuted(RequestErrors.outcomeUnknown)
                ClaimResult.DifferentBody -> notExecuted(RequestErrors.idempotencyKeyReused)
            }
        }
    }

    private fun notExecuted(error: RequestError) = AtMostOnceResult(error.left(), executedNow = false)

    private suspend fun runGranted(
        grant: ClaimGrant,
        caller: CallerState,
        execute: suspend (CallerState) -> Either<RequestError, RecordedResponse>,
    ): AtMostOnceResult {
        val response = if (caller.disconnected) RequestErrors.callerDisconnected.left() else tryExecute(caller, execute)
        val error = response.leftOrNull()
        if (error != null && error.executionStatus == ExecutionStatus.NO) {
            settle { intents.release(grant) }
            return notExecuted(error)
        }
        val recorded = response.fold(::recordedResponse) { it }
        settle { intents.finish(grant, recorded) }
        return AtMostOnceResult(response, executedNow = true)
    }

    /** Returns `outcomeUnknown` after an internal error of the daemon, because the request may have been sent. */
    private suspend fun tryExecute(
        caller: CallerState,
        execute: suspend (CallerState) -> Either<RequestError, RecordedResponse>,
    ): Either<RequestError, RecordedResponse> =
        try {
            execute(caller)
        } catch (_: Exception) {
            RequestErrors.outcomeUnknown.left()
        }

    /**
     * Runs [block] and waits for it up to [SETTLE_TIMEOUT], so that an immediate repeat finds the outcome. If the store
     * is unavailable, [block] continues after the timeout.
     */
    private suspend fun settle(block: suspend () -> Unit) {
        val job = scope.launch { block() }
        withTimeoutOrNull(SETTLE_TIMEOUT) { job.join() }
    }

    private fun recordedResponse(error: RequestError): RecordedResponse {
        val body = Base64.getEncoder().encodeToString(ResponseFormat.error(error).toByteArray())
        return RecordedResponse(error.kind.status, "application/json", body)
    }

    companion object {
        private val SETTLE_TIMEOUT = 1.seconds
    }
}
