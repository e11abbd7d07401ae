package io.tarragonport.tool.quickstart

import io.tarragonport.api.backend.EngineMessage
import io.tarragonport.api.configuration.WireJson
import io.tarragonport.standin.engine.ExpectedCompletion
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/** Chat requests whose responses are compared with the text that the engine stand-ins must generate. */
internal object ChatCases {
    private const val DATA_PREFIX = "data: "
    private const val END_OF_STREAM = "[DONE]"

    /** A chat request with a streamed response, which must be complete and end with `[DONE]`. */
    fun streaming(
        title: String,
        model: String,
        key: String,
        prompt: String,
        requestClass: String? = null,
    ) = case(title, model, key, prompt, requestClass, stream = true) { streamingText(it) }

    /** A chat request with a single, non-streamed response. */
    fun nonStreaming(
        title: String,
        model: String,
        key: String,
        prompt: String,
        requestClass: String? = null,
    ) = case(title, model, key, prompt, requestClass, stream = false) { nonStreamingText(it) }

    private fun case(
        title: String,
        model: String,
        key: String,
        prompt: String,
        requestClass: String?,
        stream: Boolean,
        extractText: (String) -> String?,
    ): QuickstartCase {
        val expected = ExpectedCompletion.text(model, listOf(EngineMessage("user", prompt)))
        return QuickstartCase(
            title = title,
            path = "/v1/chat/completions",
            key = key,
            body = body(model, prompt, stream),
            headers = if (requestClass == null) emptyMap() else mapOf("X-Request-Class" to requestClass),
        ) { response ->
            when {
                response.status != HTTP_OK -> "status ${response.status}: ${response.body}"
                extractText(response.body) != expected -> "the response differs from the text the engine must generate"
                else -> null
            }
        }
    }

    private fun body(
        model: String,
        prompt: String,
        stream: Boolean,
    ): String {
        val content = JsonPrimitive(prompt)
        return """{"model":"$model","stream":$stream,"messages":[{"role":"user","content":$content}]}"""
    }

    private fun streamingText(body: String): String? {
        val chunks = body.lines().filter { it.startsWith(DATA_PREFIX) }.map { it.removePrefix(DATA_PREFIX) }
        if (chunks.lastOrNull() != END_OF_STREAM) {
            return null
        }
        return chunks.dropLast(1).joinToString("") { chunk -> content(parse(chunk), "delta").orEmpty() }
    }

    private fun nonStreamingText(body: String): String? = content(parse(body), "message")

    private fun parse(text: String): JsonObject = WireJson.parseToJsonElement(text).jsonObject

    private fun content(
        value: JsonObject,
        messageField: String,
    ): String? =
        value["choices"]
            ?.jsonArray
            ?.firstOrNull()
            ?.jsonObject
            ?.get(messageField)
            ?.jsonObject
            ?.get("content")
            ?.jsonPrimitive
            ?.contentOrNull

    private const val HTTP_OK = 200
}
