package io.tarragonport.standin.engine

import io.tarragonport.api.configuration.WireJson
import io.tarragonport.platform.backend.EngineChoice
import kotlinx.serialization.Serializable

/** Parses the server-sent events of a response to a caller. */
object SseText {
    @Serializable
    private data class Chunk(
        val choices: List<EngineChoice> = emptyList(),
    )

    /** Concatenated text of all chunks. */
    fun text(events: String): String =
        data(events)
            .filter { it != "[DONE]" }
            .flatMap { WireJson.decodeFromString(Chunk.serializer(), it).choices }
            .mapNotNull { it.delta.content }
            .joinToString("")

    /** True if the stream ends with the completion marker. */
    fun isDone(events: String): Boolean = data(events).lastOrNull() == "[DONE]"

    /** Kind of the first error event; null if there is none. */
    fun errorKind(events: String): String? =
        data(events)
            .firstOrNull { it.startsWith("""{"error"""") }
            ?.substringAfter(""""kind":"""")
            ?.substringBefore('"')

    private fun data(events: String): List<String> =
        events.lines().filter { it.startsWith("data: ") }.map { it.removePrefix("data: ") }
}
