package io.tarragonport.standin.fleet

import io.tarragonport.wire.WireHeaders
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.net.Socket

/** Guards against callers that use up the memory of a process with very short requests that they send ahead. */
class HostileRequestsAheadTest {
    private class Case(
        val title: String,
        val crowd: Int,
        val toReadiness: Boolean = false,
        val send: (Socket) -> Unit,
    )

    private val shortest = "GET / HTTP/1.0\r\n\r\n"

    private fun Socket.send(text: String) = getOutputStream().write(text.toByteArray())

    /** The body makes the process read larger pieces. */
    private fun Socket.sendSlowRequest() =
        send(
            "POST /post/slow HTTP/1.1\r\nHost: ${FleetSamples.HOST}\r\n" +
                "${WireHeaders.REQUEST_ID}: ahead-${System.nanoTime()}\r\n" +
                "${WireHeaders.KEY}: ${FleetSamples.KEY}\r\nContent-Length: $BODY_BYTES\r\n\r\n" +
                "x".repeat(BODY_BYTES),
        )

    private fun Socket.sendWithoutEnd(request: String) {
        while (true) send(request.repeat(REQUESTS_PER_WRITE))
    }

    private val cases =
        listOf(
            Case("requests without fields behind one that is being served", crowd = 100) { socket ->
                socket.sendSlowRequest()
                socket.send(shortest.repeat(AHEAD_BYTES / shortest.length))
            },
            Case("requests without a route whose answers are not read", crowd = 10) { socket ->
                socket.sendWithoutEnd("GET /none HTTP/1.1\r\nHost: ${FleetSamples.HOST}\r\n\r\n")
            },
            Case("readiness requests whose answers are not read", crowd = 10, toReadiness = true) { socket ->
                socket.sendWithoutEnd("GET /readyz HTTP/1.1\r\nHost: r\r\n\r\n")
            },
        )

    @TestFactory
    fun `requests sent ahead leave room for others`(): List<DynamicTest> =
        cases.map { case ->
            DynamicTest.dynamicTest(case.title) {
                CrowdFixture().use { fixture ->
                    val port = if (case.toReadiness) fixture.readinessPort else fixture.callerPort
                    fixture.lastingCrowd(case.crowd, port, case.send)
                    fixture.check(case.title)
                }
            }
        }

    private companion object {
        const val BODY_BYTES = 35_000
        const val AHEAD_BYTES = 65_536
        const val REQUESTS_PER_WRITE = 2_000
    }
}
