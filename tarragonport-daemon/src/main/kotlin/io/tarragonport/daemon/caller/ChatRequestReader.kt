package io.tarragonport.daemon.caller

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import io.tarragonport.api.backend.EngineMessage
import io.tarragonport.api.error.RequestError
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.intOrNull

/** Parses the body of a chat request; errors name the invalid field. */
object ChatRequestReader {
    private const val MAXIMUM_TEMPERATURE = 2.0

    fun read(body: ByteArray): Either<RequestError, ChatRequest> =
        either {
            val fields = parse(body)
            ChatRequest(
                model = string(fields["model"], "model"),
                messages = messages(fields["messages"]),
                stream = stream(fields["stream"]),
                maximumOutputTokens = maximumOutputTokens(fields["max_tokens"] ?: fields["max_completion_tokens"]),
                temperature = temperature(fields["temperature"]),
            )
        }

    private fun Raise<RequestError>.parse(body: ByteArray): JsonObject {
        val element =
            try {
                Json.parseToJsonElement(body.decodeToString(throwOnInvalidSequence = true))
            } catch (_: SerializationException) {
                raise(RequestErrors.invalid("the body is not JSON", "body"))
            } catch (_: CharacterCodingException) {
                raise(RequestErrors.invalid("the body is not UTF-8", "body"))
            }
        return element as? JsonObject ?: raise(RequestErrors.invalid("the body is not a JSON object", "body"))
    }

    private fun Raise<RequestError>.messages(element: JsonElement?): List<EngineMessage> {
        val array = element as? JsonArray ?: raise(RequestErrors.invalid("expected an array", "messages"))
        ensure(array.isNotEmpty()) { RequestErrors.invalid("at least one message is required", "messages") }
        return array.mapIndexed { index, message -> message(message, "messages[$index]") }
    }

    private fun Raise<RequestError>.message(
        element: JsonElement,
        field: String,
    ): EngineMessage {
        val fields = element as? JsonObject ?: raise(RequestErrors.invalid("expected an object", field))
        return EngineMessage(string(fields["role"], "$field.role"), content(fields["content"], "$field.content"))
    }

    /** Content is text, or an array of text parts. */
    private fun Raise<RequestError>.content(
        element: JsonElement?,
        field: String,
    ): String {
        if (element !is JsonArray) return string(element, field)
        return element
            .mapIndexed { index, part ->
                val fields = part as? JsonObject
                string(fields?.get("text"), "$field[$index].text")
            }.joinToString("")
    }

    private fun Raise<RequestError>.string(
        element: JsonElement?,
        field: String,
    ): String {
        val primitive = element as? JsonPrimitive
        ensure(primitive != null && primitive.isString) { RequestErrors.invalid("expected a string", field) }
        return primitive.content
    }

    private fun Raise<RequestError>.stream(element: JsonElement?): Boolean {
        if (element == null || element is JsonNull) return false
        val value = (element as? JsonPrimitive)?.takeUnless { it.isString }?.booleanOrNull
        return ensureNotNull(value) { RequestErrors.invalid("expected true or false", "stream") }
    }

    private fun Raise<RequestError>.maximumOutputTokens(element: JsonElement?): Int? {
        if (element == null || element is JsonNull) return null
        val value = (element as? JsonPrimitive)?.takeUnless { it.isString }?.intOrNull
        ensure(value != null && value > 0) { RequestErrors.invalid("expected a positive integer", "max_tokens") }
        return value
    }

    private fun Raise<RequestError>.temperature(element: JsonElement?): Double? {
        if (element == null || element is JsonNull) return null
        val value = (element as? JsonPrimitive)?.takeUnless { it.isString }?.doubleOrNull
        ensure(value != null && value in 0.0..MAXIMUM_TEMPERATURE) {
            RequestErrors.invalid("expected a number from 0 to 2", "temperature")
        }
        return value
    }
}
