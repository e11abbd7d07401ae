package io.tarragonport.standin.engine

import io.tarragonport.api.backend.EngineRequest
import kotlinx.coroutines.CompletableDeferred

/** State of one chat request in an engine stand-in; the fields are written by the coroutine of the request. */
class Generation(
    val request: EngineRequest,
    val arrivalRecord: ReceivedRequest,
) {
    /** Completed by the cancel endpoint. */
    val cancelled = CompletableDeferred<Unit>()

    @Volatile var generatedTokens = 0

    @Volatile var disconnected = false

    @Volatile var finished = false

    /** The record made at arrival, completed with the state so far. */
    fun currentRecord(): ReceivedRequest =
        arrivalRecord.copy(
            generatedTokens = generatedTokens,
            cancelled = cancelled.isCompleted,
            disconnected = disconnected,
            finished = finished,
        )
}
