package io.tarragonport.standin.fleet

import io.tarragonport.standin.fleet.ScriptedServer.Companion.send
import org.junit.jupiter.api.AfterEach
import java.net.Socket
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Configuration, keys and servers must follow the store, and what is in force must outlast its outages. */
class GatewayControlTest {
    private val fixture = GatewayFixture()

    private val answering: (ReceivedCall, Socket) -> Unit = { call, socket ->
        socket.getOutputStream().send(ServerAnswers.plain(call, "ok"))
    }

    @AfterEach
    fun close() = fixture.close()

    @Test
    fun `a gateway without configuration is not ready and refuses as not run`() {
        fixture.gateway.start()
        Thread.sleep(300)
        assertFalse(fixture.ready())
        val answer = fixture.send("/post/a")
        assertEquals(503, answer.statusCode())
        assertTrue(answer.headers().firstValue("Retry-After").isPresent)
        fixture.server(FleetSamples.PLAIN, "s1", answering)
        fixture.store.configure(FleetSamples.configuration())
        fixture.eventually("the gateway does not become ready") { fixture.ready() }
    }

    @Test
    fun `a withdrawn key stops working and an older configuration never returns`() {
        fixture.server(FleetSamples.PLAIN, "s1", answering)
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
    fun `what is in force outlasts an outage and a lost history`() {
        fixture.server(FleetSamples.PLAIN, "s1", answering)
        fixture.store.configure(FleetSamples.configuration())
        fixture.start()
        fixture.store.fault = StoreFault.BUSY
        Thread.sleep(1_500)
        assertEquals(200, fixture.send("/post/a").statusCode())
        fixture.store.configure(FleetSamples.configuration(version = 2, keys = listOf("key-new")))
        fixture.store.state.compact()
        fixture.store.fault = StoreFault.NONE
        fixture.eventually("the new configuration is not in force") { fixture.send("/post/a").statusCode() == 401 }
    }

    @Test
    fun `a leaving server gets nothing new`() {
        fixture.store.configure(FleetSamples.configuration())
        val leaving = fixture.server(FleetSamples.PLAIN, "s1", answering)
        fixture.start()
        assertEquals(200, fixture.send("/post/a").statusCode())
        fixture.server(FleetSamples.PLAIN, "s2", answering)
        fixture.store.register("s1", FleetSamples.entry(FleetSamples.PLAIN, leaving.address, "draining"))
        Thread.sleep(300)
        val before = leaving.received.size
        repeat(10) { assertEquals(200, fixture.send("/post/$it").statusCode()) }
        assertEquals(before, leaving.received.size)
    }

    @Test
    fun `entries that name no server are ignored and the others hold`() {
        fixture.store.configure(FleetSamples.configuration())
        fixture.server(FleetSamples.PLAIN, "s1", answering)
        val sound = FleetSamples.entry(FleetSamples.PLAIN, "127.0.0.1:1")
        fixture.store.register("bad-1", sound.copy(state = "sleeping"))
        fixture.store.register("bad-2", sound.copy(address = "nowhere"))
        fixture.start()
        repeat(5) { assertEquals(200, fixture.send("/post/$it").statusCode()) }
    }

    @Test
    fun `stopping cuts no running request and is told by readiness first`() {
        fixture.store.configure(FleetSamples.configuration())
        fixture.server(FleetSamples.PLAIN, "s1") { call, socket ->
            Thread.sleep(1_200)
            answering(call, socket)
        }
        fixture.start()
        var status = 0
        val running = thread { status = fixture.send("/post/a").statusCode() }
        Thread.sleep(200)
        val stopping = thread { fixture.close() }
        fixture.eventually("the gateway still says that it is ready") { !fixture.ready() }
        running.join()
        stopping.join()
        assertEquals(200, status)
    }

    @Test
    fun `usage windows are reported once with their holder's fencing number`() {
        fixture.store.configure(FleetSamples.configuration())
        fixture.server(FleetSamples.PLAIN, "s1", answering)
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
    fun `figures of usage windows are deleted when nobody reports them any more`() {
        fixture.store.configure(FleetSamples.configuration())
        fixture.server(FleetSamples.PLAIN, "s1", answering)
        fixture.start()
        val figures = {
            fixture.store.state
                .list("usage-windows")
                .map { it.name }
        }
        fixture.eventually("no figure was fixed") { figures().isNotEmpty() }
        val first = figures().first()
        fixture.eventually("the first figure is still there") { first !in figures() }
        assertTrue(figures().isNotEmpty())
    }
}
