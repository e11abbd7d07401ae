package io.tarragonport.api.backend

import io.tarragonport.api.id.RequestId

/** An event in the response stream of a model engine. */
sealed interface EngineEvent {
    /** One token at position [tokenIndex], counted from 0 at the start of the complete output. */
    data class Token(
        val requestId: RequestId,
        val tokenIndex: Int,
        val text: String,
    ) : EngineEvent

    /**
     * The engine's last chunk; [generatedTokens] counts the complete output, including the part before a resumption.
     */
    data class Finished(
        val requestId: RequestId,
        val finishReason: String,
        val promptTokens: Int,
        val generatedTokens: Int,
    ) : EngineEvent

    /** The stream ended without [Finished]. */
    data class Failed(
        val failure: BackendFailure,
    ) : EngineEvent
}
