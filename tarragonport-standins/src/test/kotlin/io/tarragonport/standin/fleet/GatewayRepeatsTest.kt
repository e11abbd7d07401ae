package io.tarragonport.standin.fleet

import io.tarragonport.standin.fleet.ScriptedServer.Companion.send
import org.junit.jupiter.api.AfterEach
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** What may run once must never reach a second server after it may have run, and a refusal must be true. */
class GatewayRepeatsTest {
    private val fixture = GatewayFixture()

    @AfterEach
    fun close() = fixture.close()

    private data class Case(
        val title: String,
        val path: String,
        val first: (ReceivedCall, Socket) -> Unit,
        val status: Int,
        val arrivals: Int,
    )

    private val lost: (ReceivedCall, Socket) -> Unit = { _, socket -> socket.close() }
    private val notRun: (ReceivedCall, Socket) -> Unit = { call, socket ->
        socket.getOutputStream().send(ServerAnswers.notRun(call))
    }
    private val failed: (ReceivedCall, Socket) -> Unit = { call, socket ->
        socket.getOutputStream().send(ServerAnswers.plain(call, "bad", "500 Error"))
    }

    @Test
    fun `a second server is asked only where that is safe`() {
        fixture.store.configure(FleetSamples.configuration())
        var first: (ReceivedCall, Socket) -> Unit = lost
        var arrivals = 0
        listOf("s1", "s2", "s3").forEach { id ->
            fixture.server(FleetSamples.PLAIN, id) { call, socket ->
                arrivals++
                if (arrivals ==
                    1
                ) {
                    first(call, socket)
                } else {
                    socket.getOutputStream().send(ServerAnswers.plain(call, "ok"))
                }
            }
        }
        fixture.start()
        listOf(
            Case("lost answer, may run once", "/post/a", lost, 502, 1),
            Case("lost answer, may be repeated", "/read/a", lost, 200, 2),
            Case("not run, may run once", "/post/a", notRun, 200, 2),
            Case("not run, may be repeated", "/read/a", notRun, 200, 2),
            Case("failed, may run once", "/post/a", failed, 500, 1),
            Case("failed, may be repeated", "/read/a", failed, 200, 2),
        ).forEach { case ->
            arrivals = 0
            first = case.first
            val answer = fixture.send(case.path)
            assertEquals(case.status to case.arrivals, answer.statusCode() to arrivals, case.title)
        }
    }

    @Test
    fun `a silent server costs a repeatable request time and not its answer`() {
        fixture.store.configure(FleetSamples.configuration())
        var arrivals = 0
        listOf("s1", "s2").forEach { id ->
            fixture.server(FleetSamples.PLAIN, id) { call, socket ->
                if (++arrivals > 1) socket.getOutputStream().send(ServerAnswers.plain(call, "ok"))
            }
        }
        fixture.start()
        assertEquals(200, fixture.send("/read/a").statusCode())
        assertEquals(2, arrivals)
    }

    @Test
    fun `a request that may run once waits for a silent server until its time is over`() {
        fixture.store.configure(FleetSamples.configuration())
        val server = fixture.server(FleetSamples.PLAIN, "s1") { _, _ -> }
        fixture.server(FleetSamples.PLAIN, "s2") { _, _ -> }
        fixture.start()
        assertEquals(504, fixture.send("/post/a").statusCode())
        assertTrue(server.received.size <= 1)
    }

    @Test
    fun `a request that crashes its servers is held and others are served`() {
        fixture.store.configure(FleetSamples.configuration())
        var arrivals = 0
        listOf("s1", "s2", "s3", "s4").forEach { id ->
            fixture.server(FleetSamples.PLAIN, id) { call, socket ->
                if (call.target == "/post/crash") {
                    arrivals++
                    socket.close()
                } else {
                    socket.getOutputStream().send(ServerAnswers.plain(call, "ok"))
                }
            }
        }
        fixture.start()
        repeat(8) { assertEquals(502, fixture.send("/post/crash").statusCode()) }
        assertEquals(3, arrivals)
        assertEquals(200, fixture.send("/post/other").statusCode())
    }

    @Test
    fun `a refusal tells whether the request may have run`() {
        fixture.store.configure(FleetSamples.configuration())
        var answer: (ReceivedCall, Socket) -> Unit = lost
        fixture.server(FleetSamples.PLAIN, "s1") { call, socket -> answer(call, socket) }
        fixture.start()
        listOf(
            Triple("lost answer", lost, 502 to "unknown"),
            Triple("the only server has not run it", notRun, 503 to "no"),
        ).forEach { (title, script, expected) ->
            answer = script
            val refused = fixture.send("/post/a")
            val ran = Regex("\"ran\":\"(\\w+)\"").find(refused.body())?.groupValues?.get(1)
            assertEquals(expected, refused.statusCode() to ran, title)
        }
        val unknownRoute = fixture.send("/nowhere/")
        assertTrue("\"ran\":\"no\"" in unknownRoute.body(), unknownRoute.body())
    }

    @Test
    fun `an unreachable server is passed over`() {
        fixture.store.configure(FleetSamples.configuration())
        fixture.server(FleetSamples.PLAIN, "gone") { _, _ -> }.close()
        fixture.server(FleetSamples.PLAIN, "alive") { call, socket ->
            socket.getOutputStream().send(ServerAnswers.plain(call, "ok"))
        }
        fixture.start()
        repeat(4) { assertEquals(200, fixture.send("/post/$it").statusCode()) }
    }
}
