package io.tarragonport.standin.fleet

import io.tarragonport.standin.fleet.ScriptedServer.Companion.send
import io.tarragonport.wire.WireHeaders
import org.junit.jupiter.api.AfterEach
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.Collections
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/**
 * The gateway must apply changes of configuration, keys and servers in the store, and must keep the active
 * configuration while the store is unavailable.
 */
class GatewayControlTest {
    private val fixture = GatewayFixture()

    private val respondOk: (ReceivedCall, Socket) -> Unit = { call, socket ->
        socket.getOutputStream().send(ServerResponses.plain(call, "ok"))
    }

    @AfterEach
    fun close() = fixture.close()

    @Test
    fun `a gateway without configuration is not ready and rejects requests as not executed`() {
        fixture.gateway.start()
        Thread.sleep(300)
        assertFalse(fixture.isReady())
        val response = fixture.send("/post/a")
        assertEquals(503, response.statusCode())
        assertTrue(response.headers().firstValue("Retry-After").isPresent)
        fixture.startServer(FleetSamples.PLAIN, "s1", respondOk)
        fixture.store.configure(FleetSamples.configuration())
        fixture.eventually("the gateway does not become ready") { fixture.isReady() }
    }

    @Test
    fun `a withdrawn key stops working and an older configuration is never activated`() {
        fixture.startServer(FleetSamples.PLAIN, "s1", respondOk)
        fixture.store.configure(FleetSamples.configuration(version = 4))
        fixture.start()
        assertEquals(200, fixture.send("/post/a").statusCode())
        fixture.store.configure(FleetSamples.configuration(version = 9, keys = listOf("key-new")))
        fixture.eventually("the key still works") { fixture.send("/post/a").statusCode() == 401 }
        assertEquals(200, fixture.send("/post/a", key = "key-new").statusCode())
        fixture.store.configure(FleetSamples.configuration(version = 5))
        Thread.sleep(300)
        assertEquals(401, fixture.send("/post/a").statusCode())
    }

    @Test
    fun `the active configuration survives an outage and a compacted history`() {
        fixture.startServer(FleetSamples.PLAIN, "s1", respondOk)
        fixture.store.configure(FleetSamples.configuration())
        fixture.start()
        fixture.store.fault = StoreFault.BUSY
        Thread.sleep(1_500)
        assertEquals(200, fixture.send("/post/a").statusCode())
        fixture.store.configure(FleetSamples.configuration(version = 2, keys = listOf("key-new")))
        fixture.store.state.compact()
        fixture.store.fault = StoreFault.NONE
        fixture.eventually("the new configuration is not active") { fixture.send("/post/a").statusCode() == 401 }
    }

    @Test
    fun `a draining server gets no new requests`() {
        fixture.store.configure(FleetSamples.configuration())
        val drainingServer = fixture.startServer(FleetSamples.PLAIN, "s1", respondOk)
        fixture.start()
        assertEquals(200, fixture.send("/post/a").statusCode())
        fixture.startServer(FleetSamples.PLAIN, "s2", respondOk)
        fixture.store.register("s1", FleetSamples.entry(FleetSamples.PLAIN, drainingServer.address, "draining"))
        Thread.sleep(300)
        val before = drainingServer.received.size
        repeat(10) { assertEquals(200, fixture.send("/post/$it").statusCode()) }
        assertEquals(before, drainingServer.received.size)
    }

    @Test
    fun `invalid server entries are ignored and valid ones are used`() {
        fixture.store.configure(FleetSamples.configuration())
        fixture.startServer(FleetSamples.PLAIN, "s1", respondOk)
        val valid = FleetSamples.entry(FleetSamples.PLAIN, "127.0.0.1:1")
        fixture.store.register("bad-1", valid.copy(state = "sleeping"))
        fixture.store.register("bad-2", valid.copy(address = "nowhere"))
        fixture.start()
        repeat(5) { assertEquals(200, fixture.send("/post/$it").statusCode()) }
    }

    @Test
    fun `stopping fails the readiness probe first and aborts no running request`() {
        fixture.store.configure(FleetSamples.configuration())
        fixture.startServer(FleetSamples.PLAIN, "s1") { call, socket ->
            Thread.sleep(1_200)
            respondOk(call, socket)
        }
        fixture.start()
        var status = 0
        val running = thread { status = fixture.send("/post/a").statusCode() }
        Thread.sleep(200)
        val stopping = thread { fixture.close() }
        fixture.eventually("the gateway is still ready") { !fixture.isReady() }
        running.join()
        stopping.join()
        assertEquals(200, status)
    }

    @Test
    fun `a gateway whose caller address is in use fails to start and never reports that it is ready`() {
        fixture.store.configure(FleetSamples.configuration())
        ServerSocket(fixture.callerPort, 1, InetAddress.getLoopbackAddress()).use {
            assertFailsWith<IOException> { fixture.gateway.start() }
            assertFalse(fixture.isReady())
        }
    }

    /** The platform sends new connections until the second failed readiness probe, here with four callers at a time. */
    @Test
    fun `requests accepted under load after the stop signal are answered`() {
        fixture.store.configure(FleetSamples.configuration())
        fixture.startServer(FleetSamples.PLAIN, "s1") { call, socket ->
            Thread.sleep(50)
            respondOk(call, socket)
        }
        fixture.start()
        val statuses = Collections.synchronizedList(mutableListOf<Int?>())
        val stopping = thread { fixture.close() }
        val end = System.nanoTime() + SENDING_AFTER_STOP_NANOS
        val callers =
            List(CALLERS) { caller ->
                thread {
                    var number = 0
                    while (System.nanoTime() < end) statuses += statusOnNewConnection("stop-$caller-${number++}")
                }
            }
        callers.forEach { it.join() }
        stopping.join()
        assertTrue(statuses.size > 5 * CALLERS, "$statuses")
        assertEquals(setOf<Int?>(200), statuses.toSet())
    }

    private fun statusOnNewConnection(requestId: String): Int? =
        fixture.connect().use { socket ->
            socket.getOutputStream().send(
                "POST /post/a HTTP/1.1\r\nHost: ${FleetSamples.HOST}\r\nConnection: close\r\n" +
                    "${WireHeaders.REQUEST_ID}: $requestId\r\n${WireHeaders.KEY}: ${FleetSamples.KEY}\r\n" +
                    "Content-Length: 0\r\n\r\n",
            )
            val answer = socket.getInputStream().readAllBytes().decodeToString()
            answer.removePrefix("HTTP/1.1 ").take(3).toIntOrNull()
        }

    @Test
    fun `usage windows are reported once with the fencing token of the leaseholder`() {
        fixture.store.configure(FleetSamples.configuration())
        fixture.startServer(FleetSamples.PLAIN, "s1", respondOk)
        fixture.start()
        repeat(3) { fixture.send("/post/$it") }
        repeat(2) { fixture.send("/post/$it", key = FleetSamples.OTHER_KEY) }
        val usage = { fixture.store.dutyCalls.filter { it.path == "/usage" } }
        fixture.eventually("no usage was reported") { usage().any { "\"one\":3" in it.body && "\"two\":2" in it.body } }
        assertTrue(usage().all { it.holder == "vm-1" && it.fencing >= 1 })
        val windows = usage().map { it.body.substringAfter("\"window\":").substringBefore(",") }
        assertEquals(windows.size, windows.toSet().size)
    }

    @Test
    fun `stored figures of usage windows are deleted once no VM reports them any more`() {
        fixture.store.configure(FleetSamples.configuration())
        fixture.startServer(FleetSamples.PLAIN, "s1", respondOk)
        fixture.start()
        val figures = {
            fixture.store.state
                .list("usage-windows")
                .map { it.name }
        }
        fixture.eventually("no figures were stored") { figures().isNotEmpty() }
        val first = figures().first()
        fixture.eventually("the first figures were not deleted") { first !in figures() }
        assertTrue(figures().isNotEmpty())
    }

    private companion object {
        const val CALLERS = 4

        /** Less than half of the stop time of the fixture, for which connections are accepted in any case. */
        const val SENDING_AFTER_STOP_NANOS = 1_400_000_000L
    }
}
