package io.tarragonport.daemon.gateway.ingress

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.tarragonport.api.error.ErrorKind

/** Validates a request's first line and headers beyond the checks of the decoder. */
internal object HeadCheck {
    /** Returns the host of the request, or the kind of error with which it is refused. */
    fun check(request: HttpRequest): Either<ErrorKind, String> {
        if (request.decoderResult().isFailure) return decoderError(request.decoderResult().cause()).left()
        val hosts = request.headers().getAll(HttpHeaderNames.HOST)
        val codings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
        val valid =
            request.protocolVersion() in SUPPORTED_VERSIONS &&
                hosts.size == 1 &&
                hosts.single().isNotBlank() &&
                request.uri().startsWith('/') &&
                request.uri().all { it in VISIBLE_CHARACTERS } &&
                (codings.isEmpty() || isChunked(codings))
        return if (valid) hosts.single().trim().right() else ErrorKind.INVALID_REQUEST.left()
    }

    private fun isChunked(codings: List<String>): Boolean =
        codings.size == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.single().trim())

    private fun decoderError(cause: Throwable): ErrorKind =
        when (cause) {
            is TooLongHttpHeaderException, is TooLongHttpLineException -> ErrorKind.HEADERS_TOO_LARGE
            else -> ErrorKind.INVALID_REQUEST
        }

    private val SUPPORTED_VERSIONS = setOf(HttpVersion.HTTP_1_0, HttpVersion.HTTP_1_1)

    /** A byte above these would be forwarded as two. */
    private val VISIBLE_CHARACTERS = '!'..'~'
}
