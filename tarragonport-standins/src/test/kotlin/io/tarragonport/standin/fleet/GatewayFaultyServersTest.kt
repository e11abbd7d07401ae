package io.tarragonport.standin.fleet

import io.tarragonport.standin.fleet.ScriptedServer.Companion.send
import io.tarragonport.wire.WireHeaders
import org.junit.jupiter.api.AfterEach
import java.io.IOException
import java.net.Socket
import java.util.Collections
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against untrue statements about execution, and against bytes without end from a faulty backend server. */
class GatewayFaultyServersTest {
    private val fixture = GatewayFixture()

    @AfterEach
    fun close() = fixture.close()

    private data class Case(
        val title: String,
        val status: Int,
        val respond: (ReceivedCall) -> String,
    )

    private data class EndlessCase(
        val title: String,
        val path: String,
        val piece: String,
        val start: (ReceivedCall) -> String,
    )

    /** [responses] requests at a time, for each of which the server sends [start] and [bytes] more, and no end. */
    private data class ConcurrentCase(
        val title: String,
        val path: String,
        val responses: Int,
        val bytes: Int,
        val start: (ReceivedCall) -> String,
    )

    private fun withoutId(response: String) = response.replace(Regex("${WireHeaders.REQUEST_ID}: .*\r\n"), "")

    private val statements =
        listOf(
            Case("refusal", NOT_RUN) { ServerResponses.notExecuted(it) },
            Case("refusal without the id of the request", UNKNOWN) { withoutId(ServerResponses.notExecuted(it)) },
            Case("success without the id of the request", UNKNOWN) { withoutId(ServerResponses.plain(it, "x")) },
            Case("503 that neither is signed nor says that the request did not run", UNKNOWN) {
                "HTTP/1.1 503 Busy\r\n${WireHeaders.REQUEST_ID}: ${ServerResponses.requestId(it)}\r\n" +
                    "Content-Length: 0\r\n\r\n"
            },
            Case("429 that neither is signed nor says that the request did not run", UNKNOWN) {
                "HTTP/1.1 429 Busy\r\n${WireHeaders.REQUEST_ID}: ${ServerResponses.requestId(it)}\r\n" +
                    "Content-Length: 0\r\n\r\n"
            },
            Case("refusal of another request, then the response", OK) {
                ServerResponses.notExecuted(it).replace(ServerResponses.requestId(it).orEmpty(), "another") +
                    ServerResponses.plain(it, "own")
            },
            Case("response, then a refusal of the same request", OK) {
                ServerResponses.plain(it, "own") + ServerResponses.notExecuted(it)
            },
        )

    @Test
    fun `a request is reported as not run only if its server states so for this request`() {
        fixture.store.configure(FleetSamples.configuration())
        var current = statements.first()
        fixture.startServer(FleetSamples.PLAIN, "s") { call, socket ->
            socket.getOutputStream().send(current.respond(call))
        }
        fixture.start()
        statements.forEach { case ->
            current = case
            assertEquals(case.status, fixture.send("/post/a").statusCode(), case.title)
        }
    }

    @Test
    fun `a refusal written once more on a kept connection is no statement about the next request`() {
        fixture.store.configure(FleetSamples.configuration())
        var refusal = ""
        val executed = mutableListOf<String>()
        listOf("s1", "s2").forEach { id ->
            fixture.startServer(FleetSamples.PLAIN, id) { call, socket ->
                if (refusal.isEmpty()) {
                    refusal = withoutId(ServerResponses.notExecuted(call))
                    socket.getOutputStream().send(ServerResponses.plain(call, "first"))
                } else {
                    executed += ServerResponses.requestId(call).orEmpty()
                    socket.getOutputStream().send(refusal)
                    Thread.sleep(50)
                    socket.getOutputStream().send(ServerResponses.plain(call, "late"))
                }
            }
        }
        fixture.start()
        assertEquals(OK, fixture.send("/post/a").statusCode())
        assertEquals(UNKNOWN, fixture.send("/post/b").statusCode())
        assertEquals(listOf("request-2"), executed, "the request must not run at a second server")
    }

    private val endless =
        listOf(
            EndlessCase("line ends before the status line", "/post/a", "\r\n") { "" },
            EndlessCase("letters before the status line", "/post/a", "x") { "" },
            EndlessCase("interim responses", "/post/a", "HTTP/1.1 100 Continue\r\n\r\n") { "" },
            EndlessCase("header lines", "/post/a", "X-A: b\r\n") { "HTTP/1.1 200 OK\r\n" },
            EndlessCase("body of a response to another request", "/post/a", ServerResponses.chunk("x".repeat(100))) {
                "HTTP/1.1 200 OK\r\n${WireHeaders.REQUEST_ID}: another\r\nTransfer-Encoding: chunked\r\n\r\n"
            },
            EndlessCase(
                "responses to another request",
                "/post/a",
                "HTTP/1.1 200 OK\r\n${WireHeaders.REQUEST_ID}: another\r\nContent-Length: 0\r\n\r\n",
            ) { "" },
            EndlessCase("body", "/post/a", ServerResponses.chunk("x".repeat(100))) {
                ServerResponses.streamHead(it).replace("text/event-stream", "text/plain")
            },
            EndlessCase("chunk extension", "/post/a", "x") { ServerResponses.streamHead(it) + "5;a=" },
            EndlessCase("trailer", "/post/a", "X-A: b\r\n") {
                ServerResponses.streamHead(it).replace("text/event-stream", "text/plain") + "0\r\n"
            },
            EndlessCase("event", "/chat/a", ServerResponses.chunk("data: " + "x".repeat(100))) {
                ServerResponses.streamHead(it)
            },
        )

    @Test
    fun `bytes without end are cut off and the caller gets an answer`() {
        fixture.store.configure(FleetSamples.configuration())
        var current = endless.first()
        var written = 0L
        listOf(FleetSamples.PLAIN, FleetSamples.STREAMS).forEach { service ->
            fixture.startServer(service, "server-$service") { call, socket ->
                written = 0
                writeEndlessly(socket, current.start(call), current.piece) { written += it }
            }
        }
        fixture.start()
        endless.forEach { case ->
            current = case
            assertEquals(UNKNOWN, fixture.send(case.path).statusCode(), case.title)
            assertTrue(written < MAXIMUM_ACCEPTED_BYTES, "${case.title}: $written bytes were accepted")
        }
    }

    private fun writeEndlessly(
        socket: Socket,
        start: String,
        piece: String,
        count: (Int) -> Unit,
    ) {
        val output = socket.getOutputStream()
        val block = piece.repeat(BLOCK_BYTES / piece.length)
        try {
            output.send(start)
            while (true) {
                output.send(block)
                count(block.length)
            }
        } catch (_: IOException) {
            // The gateway closed the connection, which is what is expected.
        }
    }

    private val concurrent =
        listOf(
            ConcurrentCase("bodies", "/post/a", responses = 24, bytes = 6 * MEBIBYTE) {
                ServerResponses.plain(it, "").replace("Content-Length: 0", "Content-Length: ${100 * MEBIBYTE}")
            },
            ConcurrentCase("events", "/chat/a", responses = 70, bytes = MEBIBYTE - BLOCK_BYTES) {
                ServerResponses.streamHead(it).replace("Transfer-Encoding: chunked\r\n", "") + "data: "
            },
        )

    /** Guards against a process that runs out of memory, because each response is within its limit and their sum is not. */
    @Test
    fun `incomplete responses of many requests are buffered within one limit`() {
        fixture.store.configure(FleetSamples.configuration())
        var current = concurrent.first()
        val open = Collections.synchronizedSet(mutableSetOf<Socket>())
        listOf(FleetSamples.PLAIN, FleetSamples.STREAMS).forEach { service ->
            fixture.startServer(service, "server-$service") { call, socket ->
                open += socket
                try {
                    socket.getOutputStream().send(current.start(call))
                    repeat(current.bytes / BLOCK_BYTES) { socket.getOutputStream().send("x".repeat(BLOCK_BYTES)) }
                    socket.getInputStream().read()
                } finally {
                    open -= socket
                }
            }
        }
        fixture.start()
        concurrent.forEach { case ->
            current = case
            val callers = List(case.responses) { thread { fixture.send(case.path) } }
            Thread.sleep(UNTIL_BUFFERED_MS)
            val buffered = open.size.toLong() * case.bytes
            assertTrue(buffered in 1..MAXIMUM_BUFFERED_BYTES, "${case.title}: $buffered bytes are buffered")
            callers.forEach { it.join() }
        }
    }

    private companion object {
        const val MEBIBYTE = 1024 * 1024

        /** Less than the time after which the fixture's callers give up. */
        const val UNTIL_BUFFERED_MS = 1_500L

        /** A quarter of the heap in `deploy/system.toml`. */
        const val MAXIMUM_BUFFERED_BYTES = 40L * MEBIBYTE
        const val OK = 200
        const val NOT_RUN = 503

        /** The caller learns that the request may have run. */
        const val UNKNOWN = 502
        const val BLOCK_BYTES = 8_192

        /** A body of 8 MiB, the largest that is buffered, with chunk headers and the buffers of both sockets. */
        const val MAXIMUM_ACCEPTED_BYTES = 24L * 1024 * 1024
    }
}
