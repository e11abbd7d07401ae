package io.tarragonport.daemon.gateway.ingress

import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseEncoder

/** Encodes responses; the response to a HEAD request has a `Content-Length` but no body. */
internal class CallerResponseEncoder : HttpResponseEncoder() {
    /** Whether the request of the next response has method HEAD. */
    var headRequest = false

    override fun isContentAlwaysEmpty(message: HttpResponse): Boolean =
        headRequest || super.isContentAlwaysEmpty(message)
}
