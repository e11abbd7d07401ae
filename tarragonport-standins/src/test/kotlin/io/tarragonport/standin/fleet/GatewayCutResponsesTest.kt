package io.tarragonport.standin.fleet

import io.tarragonport.standin.fleet.ScriptedServer.Companion.send
import org.junit.jupiter.api.AfterEach
import java.io.IOException
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals

/** A response that a server cut off at any point must not reach a caller as a complete one. */
class GatewayCutResponsesTest {
    private val fixture = GatewayFixture()

    @AfterEach
    fun close() = fixture.close()

    private data class Response(
        val title: String,
        val path: String,
        val text: (ReceivedCall) -> String,
    )

    private val responses =
        listOf("200 OK", "404 Not Found", "500 Error").flatMap { status ->
            listOf(
                Response("$status with length", "/post/") { ServerResponses.plain(it, "whole", status) },
                Response("$status in chunks", "/post/") {
                    chunked(it, status).replace("text/event-stream", "text/plain")
                },
                Response("$status on a stream's route", "/chat/") { ServerResponses.plain(it, "whole", status) },
            )
        } + Response("event stream", "/chat/") { chunked(it, "200 OK") }

    private fun chunked(
        call: ReceivedCall,
        status: String,
    ): String =
        ServerResponses.streamHead(call).replace("200 OK", status) + ServerResponses.chunk(ServerResponses.event(1)) +
            ServerResponses.chunk(ServerResponses.event(2)) + ServerResponses.STREAM_END

    private fun end(
        socket: Socket,
        reset: Boolean,
    ) {
        if (reset) {
            Thread.sleep(UNTIL_READ_MS)
            socket.setSoLinger(true, 0)
        }
        socket.close()
    }

    /** Guards against a 200 with an empty or short body, framed as whole, for a head or body that was cut off. */
    @Test
    fun `a response cut off at any byte is an error or is aborted`() {
        fixture.store.configure(FleetSamples.configuration())
        var response = responses.first()
        var sent = ""
        var kept = 0
        var reset = false
        var received = 0
        listOf(FleetSamples.PLAIN, FleetSamples.STREAMS).forEach { service ->
            fixture.startServer(service, "server-$service") { call, socket ->
                sent = response.text(call)
                received++
                socket.getOutputStream().send(sent.take(kept))
                end(socket, reset)
            }
        }
        fixture.start()
        val complete = mutableListOf<String>()
        responses.forEach { case ->
            listOf(false, true).forEach { withReset ->
                response = case
                reset = withReset
                kept = 0
                do {
                    received = 0
                    val outcome = outcome("${case.path}$kept-$reset-${case.title.hashCode()}")
                    if (outcome != CUT || received != 1) {
                        complete += "${case.title}, reset $reset, cut after ${sent.take(kept).takeLast(30)}: $outcome"
                    }
                    kept += if (reset) STEP_OF_RESETS else 1
                } while (kept < sent.length)
            }
        }
        assertEquals(emptyList(), complete)
    }

    private fun outcome(path: String): String =
        try {
            val response = fixture.send(path)
            if (response.statusCode() == FAILED) CUT else "${response.statusCode()} ${response.body()}"
        } catch (_: IOException) {
            CUT
        }

    private companion object {
        const val FAILED = 502
        const val CUT = "cut off"

        /** Shorter than any part of a response that matters, except the ends of lines. */
        const val STEP_OF_RESETS = 3

        /** Bytes that have not been read are lost in a reset. */
        const val UNTIL_READ_MS = 5L
    }
}
