package io.tarragonport.standin.fleet

import io.tarragonport.standin.fleet.ScriptedServer.Companion.send
import io.tarragonport.wire.WireHeaders
import org.junit.jupiter.api.AfterEach
import java.io.IOException
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against requests that differ but for one prompt part, each of which crashes another server. */
class GatewayCrashesTest {
    private val fixture = GatewayFixture()
    private val crashes = AtomicInteger()
    private var sent = 0

    @AfterEach
    fun close() = fixture.close()

    private fun parts(call: ReceivedCall): List<String> {
        val header = call.headers[WireHeaders.PROMPT_PARTS.lowercase()].orEmpty()
        return header.split(',').map { it.substringBefore(':') }
    }

    private fun startServer(
        id: String,
        service: String = FleetSamples.STREAMS,
        fail: (ReceivedCall, Socket) -> Boolean,
    ) = fixture.startServer(service, id) { call, socket ->
        if (!fail(call, socket)) {
            val stream = ServerResponses.chunk(ServerResponses.event(1)) + ServerResponses.STREAM_END
            socket.getOutputStream().send(ServerResponses.streamHead(call) + stream)
        }
    }

    /** Sends a request with [parts] that differs from all others in its body and last part. */
    private fun send(
        vararg parts: String,
        path: String = "/chat/a",
    ): Pair<Int, String?> {
        sent++
        val header = (parts.toList() + "last-$sent").joinToString(",") { "$it:100" }
        val prompt =
            mapOf(
                WireHeaders.MODEL to "model",
                WireHeaders.TOKENS to "300,10",
                WireHeaders.PROMPT_PARTS to header,
            )
        return try {
            val response = fixture.send(path, body = "body-$sent", headers = prompt)
            response.statusCode() to Regex("\"ran\":\"(\\w+)\"").find(response.body())?.groupValues?.get(1)
        } catch (_: IOException) {
            CONNECTION_CLOSED to null
        }
    }

    private data class Case(
        val title: String,
        val path: String,
        val crashesAfterHead: Boolean,
        val crashes: IntRange,
    )

    @Test
    fun `after three crashes requests with the part reach no server and others with the same caller do`() {
        fixture.store.configure(FleetSamples.configuration())
        val cases =
            listOf(
                Case("before the response", "/chat/a", crashesAfterHead = false, 3..3),
                Case("during the response", "/chat/b", crashesAfterHead = true, 3..3),
                // A stream is resumed once, at once, so that the third crash and the fourth can be of one request.
                Case("resumed", "/resume/a", crashesAfterHead = true, 3..4),
            )
        var case = cases.first()
        val servers = mutableMapOf<String, ScriptedServer>()
        List(SERVERS) { "s$it" }.forEach { id ->
            servers[id] =
                startServer(id) { call, socket ->
                    val crashing = parts(call).any { it.startsWith("crashing") }
                    if (crashing) {
                        crashes.incrementAndGet()
                        if (case.crashesAfterHead) {
                            val event = ServerResponses.chunk(ServerResponses.event(1))
                            socket.getOutputStream().send(ServerResponses.streamHead(call) + event)
                        }
                        servers.getValue(id).crash()
                    }
                    crashing
                }
        }
        fixture.start()
        var previous = 0
        cases.forEachIndexed { index, next ->
            case = next
            crashes.set(0)
            repeat(3) { assertEquals(200, send("first", "sound", path = case.path).first, case.title) }
            var refused = 0
            repeat(12) {
                if (send("first", "crashing-$index", path = case.path) == 502 to "no") refused++
                assertEquals(200, send("first", "sound", path = case.path).first, case.title)
                fixture.eventually("a crash is not recorded") {
                    fixture.eventCount("gateway_server_crashed") == previous + crashes.get()
                }
            }
            previous += crashes.get()
            assertTrue(crashes.get() in case.crashes, "${case.title}: ${crashes.get()} crashes")
            assertTrue(refused >= 8, "${case.title}: $refused refused")
        }
    }

    /** Pattern: a request is refused before the server begins to write the response on which it crashes. */
    @Test
    fun `an error response to a request does not show that its parts are sound`() {
        fixture.store.configure(FleetSamples.configuration())
        val requests = AtomicInteger()
        val servers = mutableMapOf<String, ScriptedServer>()
        List(SERVERS) { "s$it" }.forEach { id ->
            servers[id] =
                startServer(id) { call, socket ->
                    if (requests.incrementAndGet() == 3) {
                        socket.getOutputStream().send(ServerResponses.plain(call, "", status = "404 Not Found"))
                    } else {
                        crashes.incrementAndGet()
                        servers.getValue(id).crash()
                    }
                    true
                }
        }
        fixture.start()
        repeat(8) {
            send("crashing")
            fixture.eventually("a crash is not recorded") {
                fixture.eventCount("gateway_server_crashed") == crashes.get()
            }
        }
        assertEquals(3, crashes.get())
    }

    /** Pattern: a server loses single responses, while its other connections stay open. */
    @Test
    fun `lost responses of a server that runs other requests block nothing`() {
        fixture.store.configure(FleetSamples.configuration())
        val held = CountDownLatch(1)
        val end = CountDownLatch(1)
        var lost = 0
        startServer("s1") { call, socket ->
            when {
                "held" in parts(call) -> held.countDown().also { end.await() }
                lost < 5 -> socket.close().also { lost++ }
            }
            socket.isClosed
        }
        fixture.start()
        val holder = thread { send("held") }
        held.await()
        repeat(5) {
            assertEquals(502 to "unknown", send("first", "lost"))
            Thread.sleep(CONFIRMATION_MS)
        }
        assertEquals(200, send("first", "lost").first)
        end.countDown()
        holder.join()
    }

    private companion object {
        const val CONNECTION_CLOSED = 0

        /** Crashed servers do not come back during the test. */
        const val SERVERS = 16

        /** Longer than the time after which a crash is told from a lost response. */
        const val CONFIRMATION_MS = 150L
    }
}
