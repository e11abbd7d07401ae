package io.tarragonport.daemon.caller

import io.tarragonport.api.error.RequestError
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject

/** Formats response bodies for callers: errors, complete responses and server-sent events. */
object ResponseFormat {
    const val DONE = "data: [DONE]\n\n"

    /** The JSON body of [error]. */
    fun error(error: RequestError): String =
        buildJsonObject {
            putJsonObject("error") {
                put("kind", error.kind.code)
                put("message", error.message)
                error.field?.let { put("field", it) }
                put("ran", error.executionStatus.name.lowercase())
            }
        }.toString()

    /** An error event in a stream that has already started. */
    fun errorEvent(error: RequestError): String = "data: ${error(error)}\n\n"

    /** Common prefix of the chunks of one response; computed once because it is the same for every token. */
    fun chunkPrefix(
        id: String,
        model: String,
    ): String =
        """data: {"id":${quote(id)},"object":"chat.completion.chunk","model":${quote(model)},""" +
            """"choices":[{"index":0,"delta":{"""

    /** A chunk with the [text] of one token; [prefix] is the result of [chunkPrefix]. */
    fun chunk(
        prefix: String,
        text: String,
    ): String = """$prefix"content":${quote(text)}},"finish_reason":null}]}""" + "\n\n"

    /** The chunk after the last token, with finish reason and token counts. */
    fun lastChunk(
        prefix: String,
        finishReason: String,
        promptTokens: Int,
        generatedTokens: Int,
    ): String =
        """$prefix},"finish_reason":${quote(finishReason)}}],"usage":${usage(promptTokens, generatedTokens)}}""" +
            "\n\n"

    /** The JSON body of a response that is not streamed. */
    fun completion(
        id: String,
        model: String,
        text: String,
        finishReason: String,
        promptTokens: Int,
        generatedTokens: Int,
    ): String =
        buildJsonObject {
            put("id", id)
            put("object", "chat.completion")
            put("model", model)
            putJsonArray("choices") {
                add(choice(text, finishReason))
            }
            put("usage", usage(promptTokens, generatedTokens))
        }.toString()

    /** The JSON body of a list of models with these [names]. */
    fun models(names: List<String>): String =
        buildJsonObject {
            put("object", "list")
            putJsonArray("data") {
                names.forEach { name ->
                    add(
                        buildJsonObject {
                            put("id", name)
                            put("object", "model")
                        },
                    )
                }
            }
        }.toString()

    private fun choice(
        text: String,
        finishReason: String,
    ): JsonObject =
        buildJsonObject {
            put("index", 0)
            putJsonObject("message") {
                put("role", "assistant")
                put("content", text)
            }
            put("finish_reason", finishReason)
        }

    private fun usage(
        promptTokens: Int,
        generatedTokens: Int,
    ): JsonObject =
        buildJsonObject {
            put("prompt_tokens", promptTokens)
            put("completion_tokens", generatedTokens)
            put("total_tokens", promptTokens + generatedTokens)
        }

    private fun quote(text: String): String = JsonPrimitive(text).toString()
}
