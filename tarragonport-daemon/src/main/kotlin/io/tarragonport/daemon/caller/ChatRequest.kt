package io.tarragonport.daemon.caller

import io.tarragonport.api.backend.EngineMessage

/** The fields of a caller's chat request that are forwarded; all others are ignored. */
data class ChatRequest(
    val model: String,
    val messages: List<EngineMessage>,
    val stream: Boolean,
    val maximumOutputTokens: Int?,
    val temperature: Double?,
) {
    /** Prompt length estimated at four characters per token, the usual ratio for English text. */
    val estimatedPromptTokens: Int
        get() = messages.sumOf { it.content.length }.div(CHARACTERS_PER_TOKEN).coerceAtLeast(1)

    companion object {
        private const val CHARACTERS_PER_TOKEN = 4
    }
}
