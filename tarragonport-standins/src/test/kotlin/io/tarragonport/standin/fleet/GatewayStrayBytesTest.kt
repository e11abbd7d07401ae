package io.tarragonport.standin.fleet

import io.tarragonport.standin.fleet.ScriptedServer.Companion.send
import io.tarragonport.wire.WireHeaders
import org.junit.jupiter.api.AfterEach
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** A faulty server writes the first bytes of an earlier refusal between two responses, cut at any byte. */
class GatewayStrayBytesTest {
    private val fixture = GatewayFixture()

    @AfterEach
    fun close() = fixture.close()

    private data class Refusal(
        val title: String,
        val text: String,
    )

    private data class Moment(
        val title: String,
        val write: (Socket, response: String, stray: String) -> Unit,
    )

    private val refusals =
        listOf(
            Refusal("503, id first", "HTTP/1.1 503 Busy\r\n$EARLIER_ID$NOT_RUN$END"),
            Refusal("421, id first", "HTTP/1.1 421 Misdirected\r\n$EARLIER_ID$END"),
            Refusal("429, id last", "HTTP/1.1 429 Busy\r\nDate: now\r\n$NOT_RUN$EARLIER_ID$END"),
        )

    private val moments =
        listOf(
            Moment("with the response") { socket, response, stray -> socket.getOutputStream().send(response + stray) },
            Moment("on the idle connection") { socket, response, stray ->
                // Otherwise the second write waits until the first is acknowledged.
                socket.tcpNoDelay = true
                socket.getOutputStream().send(response)
                Thread.sleep(UNTIL_READ_MS)
                socket.getOutputStream().send(stray)
            },
        )

    /** Guards against a request that has run and is reported as not run, so that it runs at a second server. */
    @Test
    fun `bytes behind a response do not become the head of the next response`() {
        fixture.store.configure(FleetSamples.configuration())
        var stray = ""
        var moment = moments.first()
        val runs = mutableMapOf<String?, Int>()
        fixture.startServer(FleetSamples.PLAIN, "s") { call, socket ->
            runs.merge(ServerResponses.requestId(call), 1, Int::plus)
            val response = ServerResponses.plain(call, "done")
            if (call.target == FAULTY) {
                moment.write(socket, response, stray)
            } else {
                socket.getOutputStream().send(response)
            }
        }
        fixture.start()
        val failures = mutableListOf<String>()
        moments.forEach { current ->
            moment = current
            refusals.forEach { refusal ->
                for (length in 1..refusal.text.length) {
                    stray = refusal.text.take(length)
                    fixture.send(FAULTY)
                    Thread.sleep(UNTIL_IDLE_MS)
                    val next = fixture.send("/post/next")
                    if (next.statusCode() != OK) {
                        failures += "${current.title}, ${refusal.title}, ${stray.takeLast(20)}: ${next.statusCode()}"
                    }
                }
            }
        }
        assertEquals(emptyList(), failures)
        assertTrue(runs.values.all { it == 1 }, "a request ran more than once")
        assertTrue(fixture.eventCount("gateway_server_unexpected_input") > 0, "the bytes are not reported")
    }

    /** Guards against a request that has run and is reported as not run, if the bytes arrive after it was sent. */
    @Test
    fun `bytes before a response make no statement about its request`() {
        fixture.store.configure(FleetSamples.configuration())
        var stray = ""
        val runs = mutableMapOf<String?, Int>()
        listOf("s1", "s2").forEach { id ->
            fixture.startServer(FleetSamples.PLAIN, id) { call, socket ->
                runs.merge(ServerResponses.requestId(call), 1, Int::plus)
                socket.getOutputStream().send(stray)
                Thread.sleep(UNTIL_READ_MS)
                socket.getOutputStream().send(ServerResponses.plain(call, "done"))
            }
        }
        fixture.start()
        val failures = mutableListOf<String>()
        refusals.forEach { refusal ->
            for (length in 1..refusal.text.length) {
                stray = refusal.text.take(length)
                val status = fixture.send("/post/a").statusCode()
                if (status != OK && status != UNKNOWN) failures += "${refusal.title}, ${stray.takeLast(20)}: $status"
            }
        }
        assertEquals(emptyList(), failures)
        assertTrue(runs.values.all { it == 1 }, "a request ran more than once")
    }

    private companion object {
        const val FAULTY = "/post/faulty"
        const val OK = 200

        /** The caller learns that the request may have run. */
        const val UNKNOWN = 502
        const val UNTIL_READ_MS = 3L

        /** Until the stray bytes have been read as well. */
        const val UNTIL_IDLE_MS = 20L
        const val EARLIER_ID = "${WireHeaders.REQUEST_ID}: earlier\r\n"
        const val NOT_RUN = "${WireHeaders.NOT_EXECUTED}: 1\r\n"
        const val END = "Content-Length: 0\r\n\r\n"
    }
}
