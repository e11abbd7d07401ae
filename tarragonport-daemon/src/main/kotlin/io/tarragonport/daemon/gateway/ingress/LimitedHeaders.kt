package io.tarragonport.daemon.gateway.ingress

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.TooLongHttpHeaderException

/**
 * Header fields of a request, of which there may be [MAXIMUM_FIELDS].
 *
 * A decoded field takes many times the memory of a short one on the wire, so the limit in bytes does not bound it.
 */
internal class LimitedHeaders :
    DefaultHttpHeaders(
        DefaultHttpHeadersFactory.headersFactory().nameValidator,
        DefaultHttpHeadersFactory.headersFactory().valueValidator,
    ) {
    override fun add(
        name: String,
        value: Any,
    ): HttpHeaders {
        checkSize()
        return super.add(name, value)
    }

    override fun add(
        name: CharSequence,
        value: Any,
    ): HttpHeaders {
        checkSize()
        return super.add(name, value)
    }

    private fun checkSize() {
        if (size() >= MAXIMUM_FIELDS) throw TooLongHttpHeaderException("more than $MAXIMUM_FIELDS header fields")
    }

    companion object {
        /** Twenty times as many as callers and proxies in front of them send. */
        const val MAXIMUM_FIELDS = 512
    }
}
