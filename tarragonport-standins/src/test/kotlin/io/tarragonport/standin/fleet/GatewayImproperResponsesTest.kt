package io.tarragonport.standin.fleet

import io.tarragonport.standin.fleet.ScriptedServer.Companion.send
import io.tarragonport.wire.LimitsWire
import io.tarragonport.wire.WireHeaders
import java.io.BufferedReader
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against bytes of a faulty server that reach a caller as a response, and against a caller left waiting. */
class GatewayImproperResponsesTest {
    private class StatusCase(
        val status: String,
        val result: Int,
    )

    /** The request may have run, so its caller is told at once that nothing is known, and nothing more. */
    @Test
    fun `a status that the protocol does not have is no response`() =
        listOf(
            StatusCase("000", 502),
            StatusCase("099", 502),
            StatusCase("600", 502),
            StatusCase("1000", 502),
            StatusCase("2x0", 502),
            StatusCase("", 502),
            StatusCase("200", 200),
            StatusCase("599", 599),
        ).forEach { case ->
            GatewayFixture().use { fixture ->
                fixture.store.configure(FleetSamples.configuration())
                fixture.startServer(FleetSamples.PLAIN, "s") { call, socket ->
                    val response = ServerResponses.plain(call, "x").replaceFirst("200 OK", "${case.status} Odd")
                    socket.getOutputStream().send(response)
                }
                fixture.start()
                assertEquals(case.result, fixture.send("/post/a").statusCode(), "status '${case.status}'")
            }
        }

    private class ResetCase(
        val title: String,
        val headers: String,
        val body: String,
        val path: String = "/post/a",
        val end: (Socket) -> Unit = ::reset,
    )

    private val resets =
        listOf(
            ResetCase("neither length nor chunks", "", "part"),
            ResetCase("one end is closed first", "", "part") {
                it.shutdownOutput()
                Thread.sleep(PAUSE_MS)
                reset(it)
            },
            ResetCase("nothing of the body", "", ""),
            ResetCase("a length that is not reached", "Content-Length: 99\r\n", "part"),
            ResetCase("chunks without an end", "Transfer-Encoding: chunked\r\n", "4\r\npart\r\n"),
            ResetCase("a stream", "Content-Type: text/event-stream\r\n", "id: 1\ndata: a\n\nid: 2\nda", "/chat/a"),
        )

    @Test
    fun `a part of a response that is reset while the request is written does not look complete`() =
        resets.forEach { case ->
            GatewayFixture().use { fixture ->
                fixture.store.configure(
                    FleetSamples.configuration().copy(limits = LimitsWire(8_192, 4_194_304, 5_000, 5_000)),
                )
                val service = if (case.path.startsWith("/chat")) FleetSamples.STREAMS else FleetSamples.PLAIN
                ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress()).use { listener ->
                    thread(isDaemon = true) { answerEarly(listener, case) }
                    fixture.store.register("s", FleetSamples.entry(service, "127.0.0.1:${listener.localPort}"))
                    fixture.start()
                    val status =
                        try {
                            fixture.send(case.path, body = "x".repeat(UPLOAD_BYTES)).statusCode()
                        } catch (_: IOException) {
                            // The connection ended within the response, which is what a caller of a stream sees.
                            null
                        }
                    assertTrue(status == null || status == 502, "${case.title}: $status")
                }
            }
        }

    /** Answers each request when its head has arrived, and ends the connection while the body is being written. */
    private fun answerEarly(
        listener: ServerSocket,
        case: ResetCase,
    ) {
        try {
            while (true) {
                val socket = listener.accept()
                val id = requestId(socket.getInputStream().bufferedReader(Charsets.ISO_8859_1))
                val head =
                    "HTTP/1.1 200 OK\r\n${WireHeaders.REQUEST_ID}: $id\r\n${WireHeaders.SIGNATURE}: signed\r\n" +
                        "${case.headers}\r\n"
                socket.getOutputStream().send(head + case.body)
                Thread.sleep(PAUSE_MS)
                case.end(socket)
            }
        } catch (_: IOException) {
            // The listener was closed.
        }
    }

    private fun requestId(reader: BufferedReader): String =
        generateSequence { reader.readLine()?.ifEmpty { null } }
            .toList()
            .first { it.startsWith(WireHeaders.REQUEST_ID, ignoreCase = true) }
            .substringAfter(':')
            .trim()

    private companion object {
        const val BACKLOG = 8
        const val PAUSE_MS = 100L

        /** More than the buffers of both ends of a connection. */
        const val UPLOAD_BYTES = 4_000_000

        fun reset(socket: Socket) {
            socket.setSoLinger(true, 0)
            socket.close()
        }
    }
}
