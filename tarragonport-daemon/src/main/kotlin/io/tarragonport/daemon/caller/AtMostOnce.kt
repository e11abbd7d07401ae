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
 * Runs requests that may not be repeated: claims the intent before anything is sent, then runs apart from the caller's
 * connection, so that the answer is recorded even if the caller goes away.
 */
class AtMostOnce(
    private val intents: IntentRegistry,
    private val dispatcher: Dispatcher,
    private val scope: CoroutineScope,
) {
    /** Runs [execute] at most once for the idempotency key of [request]; a duplicate gets the recorded answer. */
    suspend fun run(
        request: PreparedRequest,
        execute: suspend (Presence) -> Either<RequestError, RecordedResponse>,
    ): AtMostOnceResult {
        val presence = Presence(dispatcher)
        val result = scope.async { claimAndRun(request, presence, execute) }
        try {
            return result.await()
        } catch (cause: CancellationException) {
            presence.leave()
            throw cause
        }
    }

    private suspend fun claimAndRun(
        request: PreparedRequest,
        presence: Presence,
        execute: suspend (Presence) -> Either<RequestError, RecordedResponse>,
    ): AtMostOnceResult {
        val claim =
            intents.claim(
                request.admission.organisation.id,
                checkNotNull(request.idempotencyKey),
                request.bodyDigest,
                request.admission.requestClass.retentionHours,
            )
        return claim.fold({ notRun(it.copy(ran = ExecutionStatus.NO)) }) { result ->
            when (result) {
                is ClaimResult.Granted -> runGranted(result.grant, presence, execute)
                is ClaimResult.Finished -> AtMostOnceResult(result.response.right(), ranNow = false)
                ClaimResult.Started -> notRun(RequestErrors.outcomeUnknown)
                ClaimResult.DifferentBody -> notRun(RequestErrors.idempotencyKeyReused)
            }
        }
    }

    private fun notRun(error: RequestError) = AtMostOnceResult(error.left(), ranNow = false)

    private suspend fun runGranted(
        grant: ClaimGrant,
        presence: Presence,
        execute: suspend (Presence) -> Either<RequestError, RecordedResponse>,
    ): AtMostOnceResult {
        val answer = if (presence.gone) RequestErrors.callerDisconnected.left() else executeSafely(presence, execute)
        val error = answer.leftOrNull()
        if (error != null && error.ran == ExecutionStatus.NO) {
            settle { intents.release(grant) }
            return notRun(error)
        }
        val recorded = answer.fold(::record) { it }
        settle { intents.finish(grant, recorded) }
        return AtMostOnceResult(answer, ranNow = true)
    }

    /** An error of the daemon itself leaves open whether the request was sent. */
    private suspend fun executeSafely(
        presence: Presence,
        execute: suspend (Presence) -> Either<RequestError, RecordedResponse>,
    ): Either<RequestError, RecordedResponse> =
        try {
            execute(presence)
        } catch (_: Exception) {
            RequestErrors.outcomeUnknown.left()
        }

    /** Waits a little so that an immediate repeat finds the outcome, but not for an unavailable store. */
    private suspend fun settle(block: suspend () -> Unit) {
        val job = scope.launch { block() }
        withTimeoutOrNull(SETTLE_TIMEOUT) { job.join() }
    }

    private fun record(error: RequestError): RecordedResponse {
        val body = Base64.getEncoder().encodeToString(ResponseFormat.error(error).toByteArray())
        return RecordedResponse(error.kind.status, "application/json", body)
    }

    companion object {
        private val SETTLE_TIMEOUT = 1.seconds
    }
}
