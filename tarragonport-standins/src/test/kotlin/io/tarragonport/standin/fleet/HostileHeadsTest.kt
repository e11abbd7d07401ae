package io.tarragonport.standin.fleet

import java.net.Socket
import kotlin.test.Test

/** Guards against callers that use up the memory or the descriptors of a process with heads. */
class HostileHeadsTest {
    private class Case(
        val title: String,
        val toReadiness: Boolean = false,
        val send: (Socket) -> Unit,
    )

    private val start = "GET /read/a HTTP/1.1\r\nHost: ${FleetSamples.HOST}\r\n"

    private fun Socket.send(text: String) {
        getOutputStream().write(text.toByteArray())
        getOutputStream().flush()
    }

    /** Fields of four bytes, up to the limit of a head's size. */
    private fun shortFields(): String = "a:\r\n".repeat((CrowdFixture.HEADER_BYTES - 200) / 4)

    private val cases =
        listOf(
            Case("many short fields without an end") { it.send(start + shortFields()) },
            Case("many short fields, and a body without an end") {
                it.send(
                    "POST /post/a HTTP/1.1\r\nHost: ${FleetSamples.HOST}\r\n${shortFields()}Content-Length: 9\r\n\r\n",
                )
            },
            Case("many short fields at the readiness address", toReadiness = true) {
                it.send("GET /readyz HTTP/1.1\r\nHost: a\r\n" + "a:\r\n".repeat(1_900))
            },
            Case("half a request line") { it.send("GET /re") },
            Case("nothing at all") { },
            Case("nothing at the readiness address", toReadiness = true) { },
        )

    @Test
    fun `heads without an end leave room for others`() = cases.forEach(::check)

    @Test
    fun `requests sent ahead without reading leave room for others`() =
        check(
            Case("requests sent ahead without reading") { socket ->
                repeat(3_000) { number ->
                    socket.send("${start}X-Request-Id: ahead-$number\r\nX-Api-Key: ${FleetSamples.KEY}\r\n\r\n")
                }
            },
        )

    private fun check(case: Case) =
        CrowdFixture().use { fixture ->
            fixture.crowd(CROWD, if (case.toReadiness) fixture.readinessPort else fixture.callerPort, case.send)
            fixture.check(case.title)
        }

    private companion object {
        const val CROWD = 150
    }
}
