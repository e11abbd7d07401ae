package io.tarragonport.daemon.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.tarragonport.api.gateway.RegisteredServer
import io.tarragonport.api.gateway.ResponseMetadata
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.RequestId
import io.tarragonport.api.id.ServiceId
import io.tarragonport.daemon.gateway.egress.OutgoingRequest
import io.tarragonport.daemon.gateway.egress.ResponseListener
import io.tarragonport.daemon.gateway.egress.ServerConnection
import io.tarragonport.daemon.gateway.egress.ServerConnectionPool
import io.tarragonport.wire.WireHeaders
import org.junit.jupiter.api.AfterEach
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.TimeSource

/** Guards against requests lost because a busy process sends them on a kept connection that the server has closed. */
class ServerConnectionPoolTest {
    private class Case(
        val title: String,
        val reused: Boolean,
        val serverDoes: (Socket) -> Unit,
    )

    private class CompletionListener(
        private val ended: CompletableFuture<Unit>,
        private val onBody: () -> Unit = {},
    ) : ResponseListener {
        override fun responseStarted(
            response: HttpResponse,
            metadata: ResponseMetadata,
        ): Boolean = true

        override fun bodyReceived(bytes: ByteBuf): Boolean {
            onBody()
            return true
        }

        override fun responseEnded() {
            ended.complete(Unit)
        }

        override fun connectionClosed(reason: String) = responseFailed(reason)

        override fun responseFailed(reason: String) {
            ended.completeExceptionally(IllegalStateException(reason))
        }
    }

    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val serverSocket = ServerSocket(0, 8, InetAddress.getLoopbackAddress())
    private val pool =
        ServerConnectionPool(
            RegisteredServer(
                BackendServerId("s"),
                ServiceId("plain"),
                "127.0.0.1:${serverSocket.localPort}",
                FailureDomainId("a"),
                slots = 6,
                leaving = false,
                cheap = false,
                leavesIn = null,
                startedAtMs = 1,
            ),
            loop,
            TimeSource.Monotonic,
            inputReceived = {},
        )

    private val cases =
        listOf(
            Case("open", reused = true) {},
            Case("closed by the server", reused = false) { it.close() },
            Case("reset by the server", reused = false) {
                it.setSoLinger(true, 0)
                it.close()
            },
            Case("bytes that belong to no request", reused = false) { it.send(RESPONSE) },
            Case("the beginning of a status line", reused = false) { it.send("HTTP/1.1 421 M") },
            Case("a status line", reused = false) { it.send("HTTP/1.1 503 Busy\r\n") },
            Case("an empty line", reused = false) { it.send("\r\n") },
        )

    @AfterEach
    fun close() {
        serverSocket.close()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    @Test
    fun `a kept connection is used again only if nothing has arrived on it`() =
        cases.forEach { case ->
            val (kept, serverSide) = keptConnection()
            val next = CompletableFuture<ServerConnection?>()
            loop.submit {
                // The event loop does not poll before this task ends.
                case.serverDoes(serverSide)
                Thread.sleep(20)
                pool.acquire { next.complete(it) }
            }
            val acquired = next.get(2, TimeUnit.SECONDS)
            assertEquals(case.reused, acquired === kept, case.title)
            if (acquired !== kept) serverSocket.accept().close()
            loop.submit { acquired?.cancel() }.sync()
            serverSide.close()
        }

    /** Guards against a request whose response is never read, because the caller of the one before was slow. */
    @Test
    fun `a connection whose reading was paused at the end of a response is read again`() {
        val (kept, serverSide) = keptConnection(response = RESPONSE_WITH_BODY) { it.setReading(false) }
        val ended = CompletableFuture<Unit>()
        loop.submit { pool.acquire { it?.send(request(), CompletionListener(ended)) } }
        serverSide.getInputStream().read(ByteArray(4_096))
        serverSide.send(RESPONSE)
        ended.get(2, TimeUnit.SECONDS)
        loop.submit { kept.cancel() }.sync()
        serverSide.close()
    }

    /** A connection that has served one request, with the server's side of it. */
    private fun keptConnection(
        response: String = RESPONSE,
        onBody: (ServerConnection) -> Unit = {},
    ): Pair<ServerConnection, Socket> {
        val opened = CompletableFuture<ServerConnection?>()
        val ended = CompletableFuture<Unit>()
        loop.submit {
            pool.acquire { connection ->
                connection?.send(request(), CompletionListener(ended) { onBody(connection) })
                opened.complete(connection)
            }
        }
        val serverSide = serverSocket.accept()
        val connection = checkNotNull(opened.get(2, TimeUnit.SECONDS)) { "no connection" }
        serverSide.getInputStream().read(ByteArray(4_096))
        serverSide.send(response)
        ended.get(2, TimeUnit.SECONDS)
        // The connection returns to the pool at the end of the round in which its response ended.
        loop.submit {}.sync()
        return connection to serverSide
    }

    private fun request() =
        OutgoingRequest(RequestId(ID), HttpMethod.POST, "/a", DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER)

    private fun Socket.send(text: String) {
        getOutputStream().write(text.toByteArray())
        getOutputStream().flush()
    }

    private companion object {
        const val ID = "request-1"
        const val RESPONSE =
            "HTTP/1.1 200 OK\r\n${WireHeaders.REQUEST_ID}: $ID\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n"
        val RESPONSE_WITH_BODY = RESPONSE.replace("Content-Length: 0", "Content-Length: 4") + "body"
    }
}
