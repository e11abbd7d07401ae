package io.tarragonport.standin.engine

import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import io.tarragonport.api.backend.EngineRequest
import io.tarragonport.api.configuration.WireJson
import io.tarragonport.api.id.RequestId
import io.tarragonport.platform.backend.EngineChoice
import io.tarragonport.platform.backend.EngineChunk
import io.tarragonport.platform.backend.EngineDelta
import io.tarragonport.platform.backend.EngineUsage

/** Writes the chunks of one response as server-sent events and flushes each of them, as engines do. */
internal class ChunkWriter(
    private val channel: ByteWriteChannel,
) {
    suspend fun writeToken(step: ChunkStep.Write) {
        val choice = EngineChoice(delta = EngineDelta(step.text))
        writeChunk(EngineChunk(RequestId(step.id), step.tokenIndex, listOf(choice)))
    }

    /** Writes the final chunk of a response with [generated] tokens and the end-of-stream marker. */
    suspend fun writeFinal(
        request: EngineRequest,
        generated: Int,
    ) {
        val usage = EngineUsage(ExpectedCompletion.promptTokens(request.messages), generated)
        val reason = if (generated == request.maxTokens) "length" else "stop"
        writeChunk(EngineChunk(request.requestId, choices = listOf(EngineChoice(finishReason = reason)), usage = usage))
        channel.writeStringUtf8("data: [DONE]\n\n")
        channel.flush()
    }

    private suspend fun writeChunk(chunk: EngineChunk) {
        channel.writeStringUtf8("data: ${WireJson.encodeToString(EngineChunk.serializer(), chunk)}\n\n")
        channel.flush()
    }
}
