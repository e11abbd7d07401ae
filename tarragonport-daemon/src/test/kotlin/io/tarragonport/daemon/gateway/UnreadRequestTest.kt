package io.tarragonport.daemon.gateway

import io.netty.buffer.Unpooled
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.gateway.CallerLimits
import io.tarragonport.core.gateway.overload.BufferBudget
import io.tarragonport.daemon.TestPorts
import io.tarragonport.daemon.gateway.ingress.CallerChannel
import io.tarragonport.daemon.gateway.ingress.CallerConnection
import io.tarragonport.daemon.gateway.ingress.CallerRequest
import io.tarragonport.daemon.gateway.ingress.CloseReason
import io.tarragonport.daemon.gateway.ingress.FrontendServer
import io.tarragonport.daemon.gateway.ingress.InFlightRequest
import io.tarragonport.daemon.gateway.ingress.RequestHandler
import org.junit.jupiter.api.AfterEach
import java.io.IOException
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Guards against requests that a busy process loses in a restart, because it closes their connection before it reads them. */
class UnreadRequestTest {
    /** Answers each request with 200, after [held] if that is set, and runs [inputRound] once, in the round in which the next connection is opened. */
    private class AnsweringHandler : RequestHandler {
        override val buffers = BufferBudget(Long.MAX_VALUE)
        val connections = mutableSetOf<CallerConnection>()
        var inputRound: (() -> Unit)? = null
        var held: CompletableFuture<Unit>? = null
        override var draining = false

        override fun arrivalTime(): ComparableTimeMark = TimeSource.Monotonic.markNow()

        override fun inputReceived() = Unit

        override fun opened(connection: CallerConnection) {
            connections += connection
            inputRound?.also { inputRound = null }?.invoke()
        }

        override fun closed(connection: CallerConnection) {
            connections -= connection
        }

        override fun handle(
            request: CallerRequest,
            caller: CallerChannel,
        ): InFlightRequest {
            request.body.release()
            val respond = { caller.respond(OK, EmptyHttpHeaders.INSTANCE, Unpooled.EMPTY_BUFFER) }
            held?.thenRun(respond) ?: respond()
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

    /**
     * A caller sends [before]. In one round of the traffic thread, after the round's input was determined, the caller
     * sends [unread], [busyMs] pass, and the process closes its connections if [stops]. The caller then sends [after].
     */
    private class Case(
        val title: String,
        val before: String,
        val unread: String,
        val after: String = "",
        val stops: Boolean = false,
        val busyMs: Long = LONGER_THAN_LIMITS_MS,
    )

    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val limits = CallerLimits(8_192, 65_536, headerTimeout = 200.milliseconds, idleTimeout = 300.milliseconds)

    private val cases =
        listOf(
            Case("new connection, stop", "", HEAD + BODY, stops = true, busyMs = 20),
            Case("kept connection, stop", HEAD + BODY, HEAD + BODY, stops = true, busyMs = 20),
            Case("start of a head, stop", HEAD + BODY, START_OF_HEAD, REST_OF_HEAD + BODY, stops = true, busyMs = 20),
            Case("head without its body, stop", HEAD + BODY, HEAD, BODY, stops = true, busyMs = 20),
            Case("kept connection, end of the idle timeout", HEAD + BODY, HEAD + BODY),
            Case("rest of a long head, end of the header timeout", START_OF_HEAD, LONG_REST_OF_HEAD + BODY),
            Case("rest of a head, end of the header timeout", START_OF_HEAD, REST_OF_HEAD + BODY),
            Case("body, end of the header timeout", HEAD, BODY),
            Case("head, end of the idle timeout", HEAD + BODY, HEAD, BODY),
        )

    @AfterEach
    fun close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    @Test
    fun `a request that arrived before its connection is closed is answered`() {
        val failed = cases.filter { play(it) != OK_LINE }.map { it.title }
        assertEquals(emptyList(), failed)
    }

    private class PipelinedCase(
        val title: String,
        val draining: Boolean,
        val whileHandled: String,
        val unread: String,
    )

    @Test
    fun `requests that arrived behind a running one before the connection is closed are answered`() {
        val request = HEAD + BODY
        val cases =
            listOf(
                PipelinedCase("read before the response, idle connections closed", draining = false, request, ""),
                PipelinedCase("unread before the response, idle connections closed", draining = false, "", request),
                PipelinedCase("read before the response, after the stop signal", draining = true, request, ""),
                PipelinedCase("unread before the response, after the stop signal", draining = true, "", request),
            )
        val failed = cases.filter { playPipelined(it) != listOf(OK_LINE, OK_LINE, null) }.map { it.title }
        assertEquals(emptyList(), failed)
    }

    /** The status lines of all responses that the caller gets until the connection is closed. */
    private fun playPipelined(case: PipelinedCase): List<String?> {
        val handler = AnsweringHandler()
        val held = CompletableFuture<Unit>().also { handler.held = it }
        val port = TestPorts.next()
        val frontend = FrontendServer(loop, handler) { limits }
        frontend.start("127.0.0.1:$port")
        return connect(port).use { caller ->
            caller.send(HEAD + BODY + case.whileHandled)
            Thread.sleep(50)
            loop
                .submit {
                    handler.draining = case.draining
                    if (!case.draining) handler.connections.toList().forEach { it.closeWhenIdle() }
                    caller.send(case.unread)
                    Thread.sleep(20)
                    held.complete(Unit)
                }.sync()
            List(3) { caller.readStatus() }
        }
    }

    /** The status line that the caller gets, or null if the connection was closed without one. */
    private fun play(case: Case): String? {
        val handler = AnsweringHandler()
        val port = TestPorts.next()
        val frontend = FrontendServer(loop, handler) { limits }
        frontend.start("127.0.0.1:$port")
        val kept = case.before.takeIf { it.isNotEmpty() }?.let { connect(port).apply { send(it) } }
        if (case.before.endsWith(BODY)) kept?.readStatus()
        // The bytes of an incomplete request have been read by then.
        Thread.sleep(50)
        var caller = kept
        val ended = CountDownLatch(1)
        val round = {
            caller = (kept ?: connect(port)).apply { send(case.unread) }
            Thread.sleep(case.busyMs)
            loop.execute {
                if (case.stops) {
                    frontend.stop()
                    handler.connections.toList().forEach { it.closeWhenIdle() }
                }
                ended.countDown()
            }
        }
        loop.submit { handler.inputRound = round }.sync()
        connect(port).use {
            assertTrue(ended.await(2, TimeUnit.SECONDS), case.title)
            return caller?.use { socket ->
                try {
                    if (case.after.isNotEmpty()) socket.send(case.after)
                    socket.readStatus()
                } catch (_: IOException) {
                    null
                }
            }
        }
    }

    private fun connect(port: Int) = Socket("127.0.0.1", port).apply { soTimeout = SOCKET_TIMEOUT_MS }

    private fun Socket.send(text: String) {
        getOutputStream().write(text.toByteArray())
        getOutputStream().flush()
    }

    /** Reads the head of a response without a body; returns its first line. */
    private fun Socket.readStatus(): String? {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val byte = getInputStream().read()
            if (byte < 0) return null
            head.append(byte.toChar())
        }
        return head.lines().first()
    }

    private companion object {
        const val OK = 200
        const val OK_LINE = "HTTP/1.1 200 OK"
        const val START_OF_HEAD = "POST /a HTTP/1.1\r\nHo"
        const val REST_OF_HEAD = "st: calls.example\r\nContent-Length: 4\r\n\r\n"
        val LONG_REST_OF_HEAD = REST_OF_HEAD.replace("Content", "Padding: ${"x".repeat(6_000)}\r\nContent")
        const val HEAD = START_OF_HEAD + REST_OF_HEAD
        const val BODY = "body"
        const val LONGER_THAN_LIMITS_MS = 400L
        const val SOCKET_TIMEOUT_MS = 2_000
    }
}
