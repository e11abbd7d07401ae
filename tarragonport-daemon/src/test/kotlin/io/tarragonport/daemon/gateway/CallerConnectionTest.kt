package io.tarragonport.daemon.gateway

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpRequest
import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.gateway.CallerLimits
import io.tarragonport.core.gateway.overload.BufferBudget
import io.tarragonport.daemon.gateway.ingress.CallerChannel
import io.tarragonport.daemon.gateway.ingress.CallerConnection
import io.tarragonport.daemon.gateway.ingress.CallerRequest
import io.tarragonport.daemon.gateway.ingress.CallerResponseEncoder
import io.tarragonport.daemon.gateway.ingress.CloseReason
import io.tarragonport.daemon.gateway.ingress.InFlightRequest
import io.tarragonport.daemon.gateway.ingress.RequestHandler
import io.tarragonport.daemon.gateway.ingress.StrictRequestDecoder
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/**
 * Guards against requests that are started although their caller has already left. Pattern: a cold VM under load reads
 * bytes and the close that follows them at the same time.
 */
class CallerConnectionTest {
    private class RecordingHandler : RequestHandler {
        override val buffers = BufferBudget(Long.MAX_VALUE)
        private val clock = TestTimeSource()
        val handled = mutableListOf<String>()
        override val draining = false

        override fun arrivalTime(): ComparableTimeMark = clock.markNow()

        override fun inputReceived() = Unit

        override fun opened(connection: CallerConnection) = Unit

        override fun closed(connection: CallerConnection) = Unit

        override fun handle(
            request: CallerRequest,
            caller: CallerChannel,
        ): InFlightRequest {
            handled += request.target
            request.body.release()
            return object : InFlightRequest {
                override fun processEnding() = Unit

                override fun callerDisconnected() = Unit

                override fun callerWritable() = Unit
            }
        }

        override fun malformed(
            kind: ErrorKind,
            request: HttpRequest?,
        ) = Unit

        override fun inputDiscarded(
            reason: CloseReason,
            sinceClosing: Duration,
        ) = Unit

        override fun connectionFailed(cause: Throwable) = Unit
    }

    private class Case(
        val title: String,
        val pieces: List<String>,
        val closed: Boolean,
        val handled: List<String>,
    )

    @Test
    fun `a request is started only if its caller has not closed the connection by then`() {
        val head = "POST /a HTTP/1.1\r\nHost: calls.example\r\nContent-Length: 4\r\n\r\n"
        listOf(
            Case("request", listOf(head + "body"), closed = false, listOf("/a")),
            Case("request in two pieces", listOf(head, "body"), closed = false, listOf("/a")),
            Case("request and close", listOf(head + "body"), closed = true, emptyList()),
            Case("request in two pieces and close", listOf(head, "body"), closed = true, emptyList()),
        ).forEach { case ->
            val handler = RecordingHandler()
            val limits = CallerLimits(8_192, 65_536, 1.seconds, 5.seconds)
            val encoder = CallerResponseEncoder()
            val channel =
                EmbeddedChannel(StrictRequestDecoder(limits), encoder, CallerConnection(limits, encoder, handler))
            // An embedded channel runs waiting tasks with each read of its own.
            channel.config().isAutoRead = false
            case.pieces.forEach { channel.pipeline().fireChannelRead(Unpooled.copiedBuffer(it, Charsets.UTF_8)) }
            // The order in which a socket channel reports what it has read and that its peer has closed it.
            channel.pipeline().fireChannelReadComplete()
            if (case.closed) channel.pipeline().fireChannelInactive()
            channel.runPendingTasks()
            assertEquals(case.handled, handler.handled, case.title)
            channel.finishAndReleaseAll()
        }
    }
}
