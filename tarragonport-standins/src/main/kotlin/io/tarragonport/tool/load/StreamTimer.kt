package io.tarragonport.tool.load

import io.tarragonport.api.configuration.WireJson
import io.tarragonport.platform.backend.EngineChoice
import kotlinx.serialization.Serializable
import java.util.concurrent.Flow

/** Collects the data lines of one streamed response and records when the first token arrived. */
class StreamTimer : Flow.Subscriber<String> {
    @Serializable
    private data class Chunk(
        val choices: List<EngineChoice> = emptyList(),
    )

    private val lines = ArrayList<String>()

    /** `System.nanoTime()` at the first token; 0 until then. */
    @Volatile var firstTokenNanos = 0L
        private set

    override fun onSubscribe(subscription: Flow.Subscription) = subscription.request(Long.MAX_VALUE)

    override fun onNext(line: String) {
        if (!line.startsWith(DATA_PREFIX)) return
        if (firstTokenNanos == 0L && line.contains(TOKEN_MARKER)) firstTokenNanos = System.nanoTime()
        lines += line
    }

    override fun onError(throwable: Throwable) = Unit

    override fun onComplete() = Unit

    /** The text of the response if the stream is complete, else null. */
    fun text(): String? {
        if (lines.lastOrNull() != DONE_LINE) return null
        return lines
            .dropLast(1)
            .flatMap { WireJson.decodeFromString(Chunk.serializer(), it.removePrefix(DATA_PREFIX)).choices }
            .mapNotNull { it.delta.content }
            .joinToString("")
    }

    private companion object {
        const val DATA_PREFIX = "data: "
        const val DONE_LINE = "data: [DONE]"
        const val TOKEN_MARKER = "\"content\":"
    }
}
