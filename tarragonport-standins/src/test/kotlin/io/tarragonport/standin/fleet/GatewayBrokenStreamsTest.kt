package io.tarragonport.standin.fleet

import io.tarragonport.standin.fleet.ScriptedServer.Companion.send
import io.tarragonport.wire.WireHeaders
import org.junit.jupiter.api.AfterEach
import java.io.IOException
import java.net.Socket
import java.net.SocketTimeoutException
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

/**
 * Once a stream has begun, only whole events of it may follow. If they cannot, the caller must see the stream as
 * incomplete.
 */
class GatewayBrokenStreamsTest {
    private val fixture = GatewayFixture()

    @AfterEach
    fun close() = fixture.close()

    private data class Case(
        val title: String,
        val expected: String,
        val respond: (ReceivedCall, Socket) -> Unit,
    )

    private fun respond(response: (ReceivedCall) -> String): (ReceivedCall, Socket) -> Unit =
        { call, socket -> socket.getOutputStream().send(response(call)) }

    private fun respondAndClose(response: (ReceivedCall) -> String): (ReceivedCall, Socket) -> Unit =
        { call, socket ->
            socket.getOutputStream().send(response(call))
            socket.close()
        }

    private fun respondAndReset(response: (ReceivedCall) -> String): (ReceivedCall, Socket) -> Unit =
        { call, socket ->
            socket.getOutputStream().send(response(call))
            Thread.sleep(50)
            socket.setSoLinger(true, 0)
            socket.close()
        }

    private fun withoutLength(head: String) = head.replace("Transfer-Encoding: chunked\r\n", "")

    private val answersToResumedStream =
        listOf(
            Case("400", ABORTED, respond { ServerResponses.plain(it, ERROR, "400 Bad") }),
            Case("401", ABORTED, respond { ServerResponses.plain(it, ERROR, "401 No") }),
            Case("404", ABORTED, respond { ServerResponses.plain(it, ERROR, "404 None") }),
            Case("413", ABORTED, respond { ServerResponses.plain(it, ERROR, "413 Large") }),
            Case("500", ABORTED, respond { ServerResponses.plain(it, ERROR, "500 Error") }),
            Case("503, not run", ABORTED, respond { ServerResponses.notExecuted(it) }),
            Case("302", ABORTED, respond { ServerResponses.plain(it, ERROR, "302 Found") }),
            Case("204", ABORTED, respond { ServerResponses.plain(it, "", "204 Nothing") }),
            Case("200 that is no event stream", ABORTED, respond { ServerResponses.plain(it, ERROR) }),
            Case(
                "error as an event stream",
                ABORTED,
                respond {
                    ServerResponses.streamHead(it).replace("200 OK", "500 Error") +
                        ServerResponses.chunk(ServerResponses.event(2)) + ServerResponses.STREAM_END
                },
            ),
            Case("bytes that are not HTTP", ABORTED, respond { "garbage\r\n\r\n" }),
            Case("close", ABORTED, respondAndClose { "" }),
            Case("nothing more", ONE_EVENT, respond { ServerResponses.streamHead(it) + ServerResponses.STREAM_END }),
            Case(
                "no length, nothing, then close",
                ABORTED,
                respondAndClose { withoutLength(ServerResponses.streamHead(it)) },
            ),
            Case("head only, then close", ABORTED, respondAndClose { ServerResponses.streamHead(it) }),
            Case(
                "end inside an event",
                ABORTED,
                respond {
                    ServerResponses.streamHead(it) + ServerResponses.chunk("id: 2\nda") +
                        ServerResponses.STREAM_END
                },
            ),
            Case(
                "no length, event, then reset",
                BOTH_ABORTED,
                respondAndReset { withoutLength(ServerResponses.streamHead(it)) + ServerResponses.event(2) },
            ),
            Case(
                "no length, end inside an event, then close",
                ABORTED,
                respondAndClose { withoutLength(ServerResponses.streamHead(it)) + "id: 2\nda" },
            ),
            Case(
                "event and end",
                COMPLETE,
                respond {
                    ServerResponses.streamHead(it) + ServerResponses.chunk(ServerResponses.event(2)) +
                        ServerResponses.STREAM_END
                },
            ),
            Case(
                "no length, event, then close",
                COMPLETE,
                respondAndClose { withoutLength(ServerResponses.streamHead(it)) + ServerResponses.event(2) },
            ),
        )

    /** Guards against an error, or its whole head, written into a stream that has begun. */
    @Test
    fun `only whole events follow a stream that has begun`() {
        fixture.store.configure(FleetSamples.configuration())
        var second: (ReceivedCall, Socket) -> Unit = { _, _ -> }
        var resumed = 0
        val script: (ReceivedCall, Socket) -> Unit = { call, socket ->
            if (call.headers["last-event-id"] == null) {
                val begun = ServerResponses.streamHead(call) + ServerResponses.chunk(ServerResponses.event(1))
                socket.getOutputStream().send(begun + ServerResponses.chunk("id: 2\nda"))
                socket.close()
            } else {
                resumed++
                second(call, socket)
            }
        }
        listOf("s1", "s2", "s3").forEach { fixture.startServer(FleetSamples.STREAMS, it, script) }
        fixture.start()
        val outcomes =
            answersToResumedStream.mapIndexed { index, case ->
                second = case.respond
                resumed = 0
                case.title to outcome("/resume/$index").also { assertTrue(resumed > 0, "${case.title}: not resumed") }
            }
        assertEquals(answersToResumedStream.map { it.title to it.expected }, outcomes)
    }

    private val firstAnswers =
        listOf(
            Case("whole events, then close", ABORTED, respondAndClose { begunStream(it) }),
            Case("whole events, then reset", ABORTED, respondAndReset { begunStream(it) }),
            Case(
                "no length, whole events, then reset",
                ABORTED,
                respondAndReset { withoutLength(ServerResponses.streamHead(it)) + ServerResponses.event(1) },
            ),
            Case(
                "no length, end inside an event, then close",
                ABORTED,
                respondAndClose {
                    withoutLength(ServerResponses.streamHead(it)) + ServerResponses.event(1) + "id: 2\nda"
                },
            ),
            Case(
                "no length, one event and one empty line missing, then close",
                ABORTED,
                respondAndClose {
                    withoutLength(ServerResponses.streamHead(it)) + ServerResponses.event(1) +
                        ServerResponses.event(2).dropLast(1)
                },
            ),
            Case("an answer that is no HTTP", ABORTED, respond { begunStream(it) + "garbage\r\n" }),
            Case(
                "a second head in the stream",
                ABORTED,
                respond { begunStream(it) + ServerResponses.plain(it, ERROR) },
            ),
            Case("whole events and the end", ONE_EVENT, respond { begunStream(it) + ServerResponses.STREAM_END }),
            Case(
                "no length, whole events, then close",
                ONE_EVENT,
                respondAndClose { withoutLength(ServerResponses.streamHead(it)) + ServerResponses.event(1) },
            ),
        )

    private fun begunStream(call: ReceivedCall) =
        ServerResponses.streamHead(call) + ServerResponses.chunk(ServerResponses.event(1))

    /** Guards against a stream that was broken off and looks complete. */
    @Test
    fun `a stream that broke off is aborted if it cannot be resumed`() {
        fixture.store.configure(FleetSamples.configuration())
        var first: (ReceivedCall, Socket) -> Unit = { _, _ -> }
        fixture.startServer(FleetSamples.STREAMS, "s") { call, socket -> first(call, socket) }
        fixture.start()
        val outcomes =
            firstAnswers.mapIndexed { index, case ->
                first = case.respond
                case.title to outcome("/chat/$index")
            }
        assertEquals(firstAnswers.map { it.title to it.expected }, outcomes)
    }

    /** Guards against a broken stream that looks complete to a caller for whom the connection's end is the stream's. */
    @Test
    fun `the connection of a caller without chunks is reset if its stream broke off`() {
        fixture.store.configure(FleetSamples.configuration())
        val script = respondAndClose(::begunStream)
        fixture.startServer(FleetSamples.STREAMS, "s") { call, socket -> script(call, socket) }
        fixture.start()
        fixture.connect().use { socket ->
            socket.getOutputStream().send(request("/chat/a", "HTTP/1.0"))
            val failure = assertFailsWith<IOException> { socket.getInputStream().readAllBytes() }
            assertTrue("reset" in failure.message.orEmpty(), "$failure")
        }
    }

    private fun request(
        path: String,
        version: String = "HTTP/1.1",
    ): String =
        "POST $path $version\r\nHost: ${FleetSamples.HOST}\r\n" +
            "${WireHeaders.REQUEST_ID}: id-$path\r\n${WireHeaders.KEY}: ${FleetSamples.KEY}\r\n" +
            "${WireHeaders.REMAINING_TIME}: 2500\r\nContent-Length: 0\r\n\r\n"

    /** What the caller of [path] sees after the head, on a connection of its own; chunk frames are left out. */
    private fun outcome(path: String): String =
        fixture.connect().use { socket ->
            socket.getOutputStream().send(request(path))
            socket.soTimeout = LONGEST_SILENCE_MS
            val received = StringBuilder()
            val input = socket.getInputStream()
            try {
                while (!received.endsWith(END_OF_RESPONSE)) {
                    val byte = input.read()
                    if (byte < 0) break
                    received.append(byte.toChar())
                }
            } catch (_: SocketTimeoutException) {
                return "${events(received.toString())}, not told in time"
            } catch (_: IOException) {
                // A reset connection shows, as the missing end does, that the stream is incomplete.
            }
            events(received.toString())
        }

    private fun events(received: String): String {
        var rest = received.substringAfter("\r\n\r\n")
        val events = StringBuilder()
        while (true) {
            val size = rest.substringBefore("\r\n").toIntOrNull(HEXADECIMAL_RADIX)
            when {
                size == null && rest.isEmpty() -> return "$events$BROKEN_OFF"
                size == null -> return "$events, then ${rest.take(40)}"
                size == 0 -> return "$events, complete"
            }
            val start = rest.indexOf("\r\n") + 2
            events.append(rest.substring(start, minOf(start + checkNotNull(size), rest.length)))
            rest = rest.drop(start + size + 2)
        }
    }

    private companion object {
        const val ERROR = "error of the next server"
        const val END_OF_RESPONSE = "\r\n0\r\n\r\n"

        /** Longer than the caller's deadline and shorter than the time after which an idle connection is closed. */
        const val LONGEST_SILENCE_MS = 3_500
        const val HEXADECIMAL_RADIX = 16
        const val BROKEN_OFF = ", broken off"
        val ONE_EVENT = "${ServerResponses.event(1)}, complete"
        val COMPLETE = "${ServerResponses.event(1)}${ServerResponses.event(2)}, complete"
        val BOTH_ABORTED = "${ServerResponses.event(1)}${ServerResponses.event(2)}$BROKEN_OFF"
        val ABORTED = "${ServerResponses.event(1)}$BROKEN_OFF"
    }
}
