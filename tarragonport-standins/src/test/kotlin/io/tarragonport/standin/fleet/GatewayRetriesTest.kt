package io.tarragonport.standin.fleet

import io.tarragonport.standin.fleet.ScriptedServer.Companion.send
import org.junit.jupiter.api.AfterEach
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * A non-repeatable request must not reach a second server once it may have been executed, and an error must state
 * whether the request may have been executed.
 */
class GatewayRetriesTest {
    private val fixture = GatewayFixture()

    @AfterEach
    fun close() = fixture.close()

    private data class Case(
        val title: String,
        val path: String,
        val firstScript: (ReceivedCall, Socket) -> Unit,
        val status: Int,
        val expectedArrivals: Int,
    )

    private val closeConnection: (ReceivedCall, Socket) -> Unit = { _, socket -> socket.close() }
    private val respondNotExecuted: (ReceivedCall, Socket) -> Unit = { call, socket ->
        socket.getOutputStream().send(ServerResponses.notExecuted(call))
    }
    private val respondServerError: (ReceivedCall, Socket) -> Unit = { call, socket ->
        socket.getOutputStream().send(ServerResponses.plain(call, "bad", "500 Error"))
    }

    @Test
    fun `a request is retried on another server only if that is safe`() {
        fixture.store.configure(FleetSamples.configuration())
        var firstScript: (ReceivedCall, Socket) -> Unit = closeConnection
        var arrivals = 0
        listOf("s1", "s2", "s3").forEach { id ->
            fixture.startServer(FleetSamples.PLAIN, id) { call, socket ->
                arrivals++
                if (arrivals == 1) {
                    firstScript(call, socket)
                } else {
                    socket.getOutputStream().send(ServerResponses.plain(call, "ok"))
                }
            }
        }
        fixture.start()
        listOf(
            Case("lost response, non-repeatable", "/post/a", closeConnection, 502, 1),
            Case("lost response, repeatable", "/read/a", closeConnection, 200, 2),
            Case("not executed, non-repeatable", "/post/a", respondNotExecuted, 200, 2),
            Case("not executed, repeatable", "/read/a", respondNotExecuted, 200, 2),
            Case("failed, non-repeatable", "/post/a", respondServerError, 500, 1),
            Case("failed, repeatable", "/read/a", respondServerError, 200, 2),
        ).forEach { case ->
            arrivals = 0
            firstScript = case.firstScript
            val response = fixture.send(case.path)
            assertEquals(case.status to case.expectedArrivals, response.statusCode() to arrivals, case.title)
        }
    }

    @Test
    fun `a repeatable request is retried if a server does not respond`() {
        fixture.store.configure(FleetSamples.configuration())
        var arrivals = 0
        listOf("s1", "s2").forEach { id ->
            fixture.startServer(FleetSamples.PLAIN, id) { call, socket ->
                if (++arrivals > 1) socket.getOutputStream().send(ServerResponses.plain(call, "ok"))
            }
        }
        fixture.start()
        assertEquals(200, fixture.send("/read/a").statusCode())
        assertEquals(2, arrivals)
    }

    @Test
    fun `a non-repeatable request waits for an unresponsive server until its deadline`() {
        fixture.store.configure(FleetSamples.configuration())
        val server = fixture.startServer(FleetSamples.PLAIN, "s1") { _, _ -> }
        fixture.startServer(FleetSamples.PLAIN, "s2") { _, _ -> }
        fixture.start()
        assertEquals(504, fixture.send("/post/a").statusCode())
        assertTrue(server.received.size <= 1)
    }

    @Test
    fun `a request that crashes servers is blocked and other requests are served`() {
        fixture.store.configure(FleetSamples.configuration())
        var arrivals = 0
        listOf("s1", "s2", "s3", "s4").forEach { id ->
            fixture.startServer(FleetSamples.PLAIN, id) { call, socket ->
                if (call.target == "/post/crash") {
                    arrivals++
                    socket.close()
                } else {
                    socket.getOutputStream().send(ServerResponses.plain(call, "ok"))
                }
            }
        }
        fixture.start()
        repeat(8) { assertEquals(502, fixture.send("/post/crash").statusCode()) }
        assertEquals(3, arrivals)
        assertEquals(200, fixture.send("/post/other").statusCode())
    }

    @Test
    fun `an error states whether the request may have been executed`() {
        fixture.store.configure(FleetSamples.configuration())
        var response: (ReceivedCall, Socket) -> Unit = closeConnection
        fixture.startServer(FleetSamples.PLAIN, "s1") { call, socket -> response(call, socket) }
        fixture.start()
        listOf(
            Triple("lost response", closeConnection, 502 to "unknown"),
            Triple("not executed by the only server", respondNotExecuted, 503 to "no"),
        ).forEach { (title, script, expected) ->
            response = script
            val rejected = fixture.send("/post/a")
            val ran = Regex("\"ran\":\"(\\w+)\"").find(rejected.body())?.groupValues?.get(1)
            assertEquals(expected, rejected.statusCode() to ran, title)
        }
        val unknownRoute = fixture.send("/nowhere/")
        assertTrue("\"ran\":\"no\"" in unknownRoute.body(), unknownRoute.body())
    }

    @Test
    fun `an unreachable server is skipped`() {
        fixture.store.configure(FleetSamples.configuration())
        fixture.startServer(FleetSamples.PLAIN, "gone") { _, _ -> }.close()
        fixture.startServer(FleetSamples.PLAIN, "alive") { call, socket ->
            socket.getOutputStream().send(ServerResponses.plain(call, "ok"))
        }
        fixture.start()
        repeat(4) { assertEquals(200, fixture.send("/post/$it").statusCode()) }
    }
}
