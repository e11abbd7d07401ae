package io.tarragonport.platform

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.tarragonport.api.configuration.WireJson
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.platform.PlatformError
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlin.time.Duration

/** A complete HTTP response of the platform. */
data class PlatformResponse(
    val status: Int,
    val entityTag: String?,
    val body: String,
    val retryAfter: Duration? = null,
    val headers: HttpHeaders = EmptyHttpHeaders.INSTANCE,
) {
    val succeeded: Boolean get() = status in SUCCESS

    /** The object version in the `ETag` header; null if the header is missing or malformed. */
    val version: ObjectVersion?
        get() =
            entityTag
                ?.trim('"')
                ?.toLongOrNull()
                ?.let(::ObjectVersion)

    /** The error for a status code that the called interface does not handle itself. */
    fun error(): PlatformError =
        when (status) {
            in SERVER_ERROR -> PlatformError.Unavailable("HTTP status $status: $body")
            else -> PlatformError.Rejected(status, body, retryAfter)
        }

    /**
     * Decodes the body of a successful response, without what [JsonNesting] cuts off. A malformed body gives
     * [PlatformError.Unavailable].
     */
    fun <T> read(deserializer: DeserializationStrategy<T>): Either<PlatformError, T> =
        if (!succeeded) {
            error().left()
        } else {
            try {
                WireJson.decodeFromString(deserializer, JsonNesting.limit(body)).right()
            } catch (exception: SerializationException) {
                PlatformError.Unavailable("malformed response body: ${exception.message}").left()
            }
        }

    /** Checks that the call succeeded and ignores the body. */
    fun acknowledge(): Either<PlatformError, Unit> = if (succeeded) Unit.right() else error().left()

    companion object {
        val SUCCESS = 200..299
        val SERVER_ERROR = 500..599
        const val CONFLICT = 409
        const val NOT_FOUND = 404
        const val PRECONDITION_FAILED = 412
    }
}
