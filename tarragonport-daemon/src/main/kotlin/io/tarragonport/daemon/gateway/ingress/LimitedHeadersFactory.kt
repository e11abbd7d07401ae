package io.tarragonport.daemon.gateway.ingress

import io.netty.handler.codec.http.HttpHeadersFactory

/** Creates the headers of requests that are decoded. */
internal object LimitedHeadersFactory : HttpHeadersFactory {
    override fun newHeaders() = LimitedHeaders()

    override fun newEmptyHeaders() = LimitedHeaders()
}
