package io.tarragonport.daemon.gateway.ingress

import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseEncoder

/** Encodes answers; the answer to a HEAD request announces a length but has no body. */
internal class AnswerEncoder : HttpResponseEncoder() {
    /** Whether the request that is answered next has method HEAD. */
    var answersHead = false

    override fun isContentAlwaysEmpty(message: HttpResponse): Boolean =
        answersHead || super.isContentAlwaysEmpty(message)
}
