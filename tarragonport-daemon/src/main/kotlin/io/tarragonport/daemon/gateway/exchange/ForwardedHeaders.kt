package io.tarragonport.daemon.gateway.exchange

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.tarragonport.api.gateway.ForwardingMetadata
import io.tarragonport.daemon.gateway.ingress.CallerRequest
import io.tarragonport.wire.RequestHeaders

/** Builds the headers of forwarded requests and responses, without hop-by-hop headers. */
internal object ForwardedHeaders {
    /**
     * Headers that are not copied: hop-by-hop headers, `Expect`, which the gateway handles itself, and
     * `Content-Length`, which is set separately.
     */
    private val NOT_COPIED =
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

    /** Headers of [request] for a backend server, including those that this system sets from [metadata]. */
    fun toServer(
        request: CallerRequest,
        metadata: ForwardingMetadata,
    ): HttpHeaders {
        val headers = endToEnd(request.headers) { RequestHeaders.reserved(it) }
        RequestHeaders.encode(metadata).forEach { (name, value) -> headers.set(name, value) }
        val length = request.body.readableBytes()
        if (length > 0 ||
            request.method !in BODYLESS_METHODS ||
            request.headers.contains(HttpHeaderNames.CONTENT_LENGTH)
        ) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, length)
        }
        return headers
    }

    /** Headers of a backend server's response for the caller; [withLength] keeps its `Content-Length`. */
    fun toCaller(
        source: HttpHeaders,
        withLength: Boolean,
    ): HttpHeaders {
        val headers = endToEnd(source) { false }
        if (withLength) {
            source.get(HttpHeaderNames.CONTENT_LENGTH)?.let { headers.set(HttpHeaderNames.CONTENT_LENGTH, it) }
        }
        return headers
    }

    private fun endToEnd(
        source: HttpHeaders,
        excluded: (String) -> Boolean,
    ): HttpHeaders {
        val options =
            source
                .getAll(HttpHeaderNames.CONNECTION)
                .flatMap { it.split(',') }
                .map { it.trim().lowercase() }
                .toSet()
        val headers = DefaultHttpHeaders(false)
        source.forEach { (name, value) ->
            val lowercase = name.lowercase()
            if (lowercase !in NOT_COPIED && lowercase !in options && !excluded(lowercase)) headers.add(name, value)
        }
        return headers
    }

    private val BODYLESS_METHODS = setOf(HttpMethod.GET, HttpMethod.HEAD, HttpMethod.DELETE, HttpMethod.OPTIONS)
}
