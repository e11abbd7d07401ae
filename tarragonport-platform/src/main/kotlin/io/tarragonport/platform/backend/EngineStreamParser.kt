package io.tarragonport.platform.backend

import io.tarragonport.api.backend.EngineEvent
import io.tarragonport.api.configuration.WireJson
import kotlinx.serialization.SerializationException

/**
 * Converts the lines of an engine's stream of server-sent events to [EngineEvent]s.
 *
 * Lines that carry no event (comments, blank lines, `[DONE]`, chunks with only a role) give null.
 */
object EngineStreamParser {
    private const val DATA_PREFIX = "data:"
    private const val DONE_MARKER = "[DONE]"

    /** Parses one line; throws [SerializationException] if its data is not a chunk. */
    fun parse(line: String): EngineEvent? {
        if (!line.startsWith(DATA_PREFIX)) return null
        val data = line.substring(DATA_PREFIX.length).trim()
        if (data.isEmpty() || data == DONE_MARKER) return null
        return event(WireJson.decodeFromString(EngineChunk.serializer(), data))
    }

    private fun event(chunk: EngineChunk): EngineEvent? {
        val choice = chunk.choices.firstOrNull() ?: return null
        val reason = choice.finishReason
        val usage = chunk.usage
        if (reason != null && usage != null) {
            return EngineEvent.Finished(chunk.id, reason, usage.promptTokens, usage.completionTokens)
        }
        val text = choice.delta.content ?: return null
        val index = chunk.tokenIndex ?: throw SerializationException("chunk without token_index")
        return EngineEvent.Token(chunk.id, index, text)
    }
}
