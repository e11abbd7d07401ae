package io.tarragonport.standin.fleet

import io.tarragonport.standin.fleet.ScriptedServer.Companion.send
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Guards against requests to a server that has refused one and said for how long it wants no others. */
class GatewayPausedServersTest {
    private class Case(
        val title: String,
        val header: String,
        val paused: Boolean,
    )

    private val cases =
        listOf(
            Case("seconds", "Retry-After: 4\r\n", paused = true),
            Case("a fraction", "Retry-After: 3.5\r\n", paused = true),
            Case("no time", "", paused = false),
            Case("a date", "Retry-After: Sun, 06 Nov 1994 08:49:37 GMT\r\n", paused = false),
            Case("a negative time", "Retry-After: -1\r\n", paused = false),
        )

    @Test
    fun `a server that asks for a pause gets nothing until its end and then work again`() =
        cases.forEach { case ->
            GatewayFixture().use { fixture ->
                fixture.store.configure(FleetSamples.configuration())
                val refused = TimeSource.Monotonic.markNow()
                val server =
                    fixture.startServer(FleetSamples.PLAIN, "s") { call, socket ->
                        val refusal = ServerResponses.notExecuted(call).replaceFirst("\r\n", "\r\n${case.header}")
                        val response =
                            if (refused.elapsedNow() <
                                PAUSE_END
                            ) {
                                refusal
                            } else {
                                ServerResponses.plain(call, "x")
                            }
                        socket.getOutputStream().send(response)
                    }
                fixture.start()
                fixture.send("/read/a")
                assertTrue(server.received.isNotEmpty(), case.title)
                val before = server.received.size
                val end = TimeSource.Monotonic.markNow() + OBSERVED
                while (end.hasNotPassedNow()) fixture.send("/read/b", headers = mapOf("X-Deadline-Ms" to "300"))
                assertEquals(case.paused, server.received.size == before, case.title)
                fixture.eventually("${case.title}: the server gets no work") {
                    fixture.send("/read/c").statusCode() == 200
                }
            }
        }

    private companion object {
        /** Longer than the start of a gateway and any pause. */
        val PAUSE_END = 5.seconds

        /** Shorter than any pause, with the time in which it was refused. */
        val OBSERVED = 1_200.milliseconds
    }
}
