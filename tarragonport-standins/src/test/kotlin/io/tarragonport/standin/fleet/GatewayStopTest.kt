package io.tarragonport.standin.fleet

import io.tarragonport.standin.fleet.ScriptedServer.Companion.send
import io.tarragonport.wire.WireHeaders
import org.junit.jupiter.api.AfterEach
import java.net.Socket
import java.util.concurrent.CompletableFuture
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals

/** Requests around a planned stop; the fixture's gateway accepts connections for 1.6 s and ends after 3.2 s. */
class GatewayStopTest {
    private val fixture = GatewayFixture()

    @AfterEach
    fun close() = fixture.close()

    private class Case(
        val title: String,
        val status: Int,
        val received: Boolean,
        val afterStream: Boolean,
        val headers: String = "",
    )

    private val cases =
        listOf(
            Case("early, longer than the process lives", UNKNOWN, received = true, afterStream = false),
            Case("early, short", OK, received = true, afterStream = false, QUICK),
            Case("late, could last longer than the process", NOT_RUN, received = false, afterStream = true),
            Case("late, its deadline is before the end", OK, received = true, afterStream = true, QUICK + DEADLINE),
        )

    /** Guards against requests that are taken late in a planned stop and cut off without a response at its end. */
    @Test
    fun `every request has a response when the process ends`() {
        fixture.store.configure(FleetSamples.configuration())
        val plain =
            fixture.startServer(FleetSamples.PLAIN, "s1") { call, socket ->
                if (QUICK_NAME !in call.headers) Thread.sleep(SLOWER_THAN_STOP_MS)
                socket.getOutputStream().send(ServerResponses.plain(call, "done"))
            }
        fixture.startServer(FleetSamples.STREAMS, "s2") { call, socket ->
            socket.getOutputStream().send(ServerResponses.streamHead(call))
            repeat(EVENTS) { number ->
                socket.getOutputStream().send(ServerResponses.chunk(ServerResponses.event(number)))
                Thread.sleep(STREAM_MS / EVENTS)
            }
            socket.getOutputStream().send(ServerResponses.STREAM_END)
        }
        fixture.start()
        val connections = cases.map { fixture.connect() }
        // The gateway does not close a connection during a stream.
        cases.forEachIndexed { index, case ->
            if (case.afterStream) connections[index].request("/chat/a", "stream-$index")
        }
        Thread.sleep(UNTIL_BEGUN_MS)
        val stopping = thread { fixture.close() }
        val responses = cases.map { CompletableFuture<String>() }
        cases.forEachIndexed { index, case ->
            thread {
                Thread.sleep(UNTIL_SENT_MS)
                connections[index].request("/post/$index", "late-$index", case.headers)
                responses[index].complete(connections[index].getInputStream().readAllBytes().decodeToString())
            }
        }
        stopping.join()
        cases.forEachIndexed { index, case ->
            val text = responses[index].getNow("")
            val statuses = Regex("""HTTP/1\.1 (\d{3})""").findAll(text).map { it.groupValues[1].toInt() }.toList()
            val expected = if (case.afterStream) listOf(OK, case.status) else listOf(case.status)
            assertEquals(expected, statuses, case.title)
            assertEquals(case.received, plain.received.any { it.target == "/post/$index" }, case.title)
        }
    }

    private fun Socket.request(
        target: String,
        id: String,
        headers: String = "",
    ) = getOutputStream().send(
        "POST $target HTTP/1.1\r\nHost: ${FleetSamples.HOST}\r\n${WireHeaders.REQUEST_ID}: $id\r\n" +
            "${WireHeaders.KEY}: ${FleetSamples.KEY}\r\n${headers}Content-Length: 0\r\n\r\n",
    )

    private companion object {
        const val OK = 200
        const val NOT_RUN = 503

        /** The caller learns that the request may have run. */
        const val UNKNOWN = 502
        const val QUICK_NAME = "x-quick"
        const val QUICK = "$QUICK_NAME: 1\r\n"
        const val DEADLINE = "${WireHeaders.REMAINING_TIME}: 400\r\n"
        const val EVENTS = 10
        const val UNTIL_BEGUN_MS = 300L

        /** The streams end after connections are no longer accepted, and before the process ends. */
        const val STREAM_MS = 2_500L

        /** While connections are still accepted; a request behind a stream is handled once the stream has ended. */
        const val UNTIL_SENT_MS = 1_000L
        const val SLOWER_THAN_STOP_MS = 4_000L
    }
}
