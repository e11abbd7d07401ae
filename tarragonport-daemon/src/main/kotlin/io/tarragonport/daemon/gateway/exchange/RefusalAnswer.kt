package io.tarragonport.daemon.gateway.exchange

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.error.ExecutionStatus
import io.tarragonport.api.error.RequestError
import io.tarragonport.api.id.RequestId
import io.tarragonport.daemon.caller.ResponseFormat
import io.tarragonport.wire.RequestHeaders
import java.util.Locale
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** An answer of this system's own: its status, headers and JSON body follow from the kind of error. */
internal class RefusalAnswer private constructor(
    val status: Int,
    val headers: HttpHeaders,
    val body: ByteBuf,
) {
    companion object {
        /** The answer for [kind]; [ran] tells whether the request ran, [retryAfter] when its caller may come back. */
        fun of(
            kind: ErrorKind,
            ran: ExecutionStatus,
            id: RequestId?,
            retryAfter: Duration?,
        ): RefusalAnswer {
            val headers = DefaultHttpHeaders()
            headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json")
            id?.let { RequestHeaders.echo(it) }?.let { (name, value) -> headers.set(name, value) }
            retryAfter?.let { headers.set(HttpHeaderNames.RETRY_AFTER, seconds(it)) }
            val text = ResponseFormat.error(RequestError(kind, kind.code.replace('_', ' '), ran))
            return RefusalAnswer(kind.status, headers, Unpooled.copiedBuffer(text, Charsets.UTF_8))
        }

        private fun seconds(duration: Duration): String =
            String.format(Locale.ROOT, "%.2f", duration.toDouble(DurationUnit.SECONDS))
    }
}
