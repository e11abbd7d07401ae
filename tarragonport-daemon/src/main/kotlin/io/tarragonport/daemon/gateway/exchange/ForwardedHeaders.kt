package io.tarragonport.daemon.gateway.exchange

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.tarragonport.api.gateway.ForwardingMetadata
import io.tarragonport.daemon.gateway.ingress.CallerRequest
import io.tarragonport.wire.RequestHeaders

/** Builds the headers that are passed on, without those that concern a single connection. */
internal object ForwardedHeaders {
    private val PER_CONNECTION =
        setOf(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "content-length",
        )

    /** Headers of [request] for a backend server. */
    fun toServer(
        request: CallerRequest,
        metadata: ForwardingMetadata,
    ): HttpHeaders {
        val headers = endToEnd(request.headers) { RequestHeaders.reserved(it) }
        RequestHeaders.encode(metadata).forEach { (name, value) -> headers.set(name, value) }
        val length = request.body.readableBytes()
        if (length > 0 || request.method !in WITHOUT_BODY || request.headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, length)
        }
        return headers
    }

    /** Headers of a backend server's answer for the caller; [withLength] keeps an announced length. */
    fun toCaller(
        answer: HttpHeaders,
        withLength: Boolean,
    ): HttpHeaders {
        val headers = endToEnd(answer) { false }
        if (withLength) {
            answer.get(HttpHeaderNames.CONTENT_LENGTH)?.let { headers.set(HttpHeaderNames.CONTENT_LENGTH, it) }
        }
        return headers
    }

    private fun endToEnd(
        source: HttpHeaders,
        removed: (String) -> Boolean,
    ): HttpHeaders {
        val named =
            source
                .getAll(HttpHeaderNames.CONNECTION)
                .flatMap { it.split(',') }
                .map { it.trim().lowercase() }
                .toSet()
        val headers = DefaultHttpHeaders(false)
        source.forEach { (name, value) ->
            val lowercase = name.lowercase()
            if (lowercase !in PER_CONNECTION && lowercase !in named && !removed(lowercase)) headers.add(name, value)
        }
        return headers
    }

    private val WITHOUT_BODY = setOf(HttpMethod.GET, HttpMethod.HEAD, HttpMethod.DELETE, HttpMethod.OPTIONS)
}
