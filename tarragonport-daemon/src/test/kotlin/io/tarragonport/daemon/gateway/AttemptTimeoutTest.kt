package io.tarragonport.daemon.gateway

import io.netty.buffer.Unpooled
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.tarragonport.api.gateway.RegisteredServer
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.RequestId
import io.tarragonport.api.id.ServiceId
import io.tarragonport.core.gateway.attempt.AttemptOutcome
import io.tarragonport.core.gateway.balance.ServerChoice
import io.tarragonport.core.gateway.balance.TrackedServer
import io.tarragonport.core.gateway.overload.BufferBudget
import io.tarragonport.daemon.gateway.egress.OutgoingRequest
import io.tarragonport.daemon.gateway.egress.ServerConnectionPool
import io.tarragonport.daemon.gateway.exchange.Attempt
import io.tarragonport.daemon.gateway.exchange.AttemptLimits
import io.tarragonport.daemon.gateway.exchange.AttemptListener
import io.tarragonport.daemon.gateway.exchange.CompleteResponse
import io.tarragonport.wire.WireHeaders
import org.junit.jupiter.api.AfterEach
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Guards against streams that a busy process breaks off as silent, because it has not read the events that have arrived. */
class AttemptTimeoutTest {
    /** What the server sends while the traffic thread is busy for longer than the limit, and the result of the attempt. */
    private class Case(
        val title: String,
        val sent: String,
        val result: String,
    )

    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val serverSocket = ServerSocket(0, 8, InetAddress.getLoopbackAddress())
    private val server =
        RegisteredServer(
            BackendServerId("s"),
            ServiceId("streams"),
            "127.0.0.1:${serverSocket.localPort}",
            FailureDomainId("a"),
            slots = 6,
            leaving = false,
            cheap = false,
            leavesIn = null,
            startedAtMs = 1,
        )
    private val pool = ServerConnectionPool(server, loop, TimeSource.Monotonic, inputReceived = {})

    private val cases =
        listOf(
            Case("nothing", "", "SILENT"),
            Case("the last event and the end", chunk("id: 2\ndata: b\n\n") + STREAM_END, "ended"),
            Case("an event, then nothing", chunk("id: 2\ndata: b\n\n"), "SILENT after 2"),
        )

    @AfterEach
    fun close() {
        serverSocket.close()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    @Test
    fun `an attempt is silent only if nothing has arrived when its time ends`() =
        cases.forEach { case ->
            val serverSide = CompletableFuture<Socket>()
            val listener =
                RecordingListener {
                    serverSide.get().send(case.sent)
                    Thread.sleep(2 * EVENT_TIMEOUT.inWholeMilliseconds)
                }
            val choice = ServerChoice(TrackedServer(server, TimeSource.Monotonic.markNow()), 0.0, 0, 1)
            val attempt =
                Attempt(
                    choice,
                    loop,
                    expectsStream = true,
                    AttemptLimits(EVENT_TIMEOUT, EVENT_TIMEOUT),
                    BufferBudget(1_000_000),
                    TimeSource.Monotonic::markNow,
                    listener,
                )
            loop.submit { attempt.start(pool, TimeSource.Monotonic.markNow() + 5.seconds, ::request) }
            serverSocket.accept().use { socket ->
                serverSide.complete(socket)
                socket.getInputStream().read(ByteArray(4_096))
                socket.send(HEAD + chunk("id: 1\ndata: a\n\n"))
                assertEquals(case.result, listener.result.get(3, TimeUnit.SECONDS), case.title)
            }
        }

    /** Runs [onFirstEvent] in the round in which the first event is read. */
    private class RecordingListener(
        private val onFirstEvent: () -> Unit,
    ) : AttemptListener {
        val result = CompletableFuture<String>()
        private var events = 0

        override fun serverPausing(
            attempt: Attempt,
            pause: Duration,
        ) = Unit

        override fun serverLeaving(attempt: Attempt) = Unit

        override fun responseReceived(
            attempt: Attempt,
            response: CompleteResponse,
        ) {
            result.complete("response")
        }

        override fun eventsReceived(
            attempt: Attempt,
            status: Int,
            headers: HttpHeaders,
            events: ByteArray,
        ) {
            if (this.events++ == 0) onFirstEvent()
        }

        override fun streamEnded(attempt: Attempt) {
            result.complete("ended")
        }

        override fun expired(attempt: Attempt) {
            result.complete("expired")
        }

        override fun failed(
            attempt: Attempt,
            outcome: AttemptOutcome,
            reason: String,
        ) {
            result.complete(if (events > 1) "$outcome after $events" else "$outcome")
        }
    }

    private fun request() =
        OutgoingRequest(RequestId(ID), HttpMethod.POST, "/a", DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER)

    private fun Socket.send(text: String) {
        getOutputStream().write(text.toByteArray())
        getOutputStream().flush()
    }

    private companion object {
        const val ID = "request-1"
        const val STREAM_END = "0\r\n\r\n"
        const val HEAD =
            "HTTP/1.1 200 OK\r\n${WireHeaders.REQUEST_ID}: $ID\r\n${WireHeaders.SIGNATURE}: signed\r\n" +
                "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        val EVENT_TIMEOUT = 200.milliseconds

        fun chunk(text: String): String = "${text.length.toString(16)}\r\n$text\r\n"
    }
}
