package io.tarragonport.standin.fleet

import io.tarragonport.standin.fleet.ScriptedServer.Companion.send
import io.tarragonport.tool.fault.FreePorts
import io.tarragonport.tool.fault.LoopbackLink
import io.tarragonport.tool.fault.VmProcess
import io.tarragonport.wire.LimitsWire
import io.tarragonport.wire.WireHeaders
import java.io.File
import java.io.IOException
import java.net.Socket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import java.time.Duration
import kotlin.concurrent.thread
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.test.fail

/** A gateway process with little memory, and a crowd of callers that do not keep to what callers should do. */
internal class CrowdFixture : AutoCloseable {
    private val folder: File = Files.createTempDirectory("tarragonport-crowd").toFile()
    private val store = StoreStandIn()
    private val link = LoopbackLink(store.start())
    private val server =
        ScriptedServer("s") { call, socket ->
            if (call.target.endsWith("/slow")) Thread.sleep(SLOW_RESPONSE_MS)
            val body = if (call.target.endsWith("/large")) "x".repeat(LARGE_RESPONSE_BYTES) else "ok"
            socket.getOutputStream().send(ServerResponses.plain(call, body))
        }
    val callerPort = FreePorts.next()
    val readinessPort = FreePorts.next()
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
    private val process = VmProcess("crowd", callerPort, link, settings(), folder.resolve("log"), command())
    private val sockets = mutableListOf<Socket>()

    init {
        store.configure(
            FleetSamples.configuration().copy(limits = LimitsWire(HEADER_BYTES, BODY_BYTES, 20_000, 30_000)),
        )
        store.register("s", FleetSamples.entry(FleetSamples.PLAIN, server.address))
        process.start()
        eventually("the process is not ready") { status(readinessPort, "/readyz") == 200 }
    }

    /** Opens [count] connections to [port] and lets [act] use each; errors of single connections are what a crowd meets. */
    fun crowd(
        count: Int,
        port: Int = callerPort,
        act: (Socket) -> Unit,
    ) = callers(count, port, act).forEach { it.join(CROWD_TIME_MS) }

    /** Like [crowd], for callers that go on until the fixture is closed. */
    fun lastingCrowd(
        count: Int,
        port: Int = callerPort,
        act: (Socket) -> Unit,
    ) {
        callers(count, port, act)
        Thread.sleep(CROWD_TIME_MS)
    }

    private fun callers(
        count: Int,
        port: Int,
        act: (Socket) -> Unit,
    ): List<Thread> =
        (1..count).map {
            val socket = Socket("127.0.0.1", port)
            synchronized(sockets) { sockets += socket }
            thread(isDaemon = true) {
                try {
                    act(socket)
                } catch (_: IOException) {
                    // The gateway closed the connection, as it may.
                }
            }
        }

    /** Checks, while the crowd is connected, that the process lives within its bounds and serves an ordinary request. */
    fun check(title: String) {
        eventually("$title: an ordinary request is not served") { status(callerPort, "/read/ordinary") == 200 }
        eventually("$title: the process does not report that it is ready") { status(readinessPort, "/readyz") == 200 }
        assertTrue(process.alive, "$title: the process has ended")
        val pid = checkNotNull(process.pid)
        val residentKilobytes =
            File("/proc/$pid/status")
                .readLines()
                .first { it.startsWith("VmRSS:") }
                .filter { it.isDigit() }
                .toInt()
        assertTrue(residentKilobytes < MAXIMUM_RESIDENT_KILOBYTES, "$title: $residentKilobytes KB resident")
        val descriptors = File("/proc/$pid/fd").list().orEmpty().size
        assertTrue(descriptors < MAXIMUM_DESCRIPTORS, "$title: $descriptors descriptors")
        assertEquals(emptyList(), outOfMemory(), title)
    }

    override fun close() {
        synchronized(sockets) { sockets.forEach { it.close() } }
        process.kill()
        server.close()
        link.close()
        store.close()
        folder.deleteRecursively()
    }

    private fun outOfMemory(): List<String> =
        folder
            .resolve("log")
            .readLines()
            .filter { "OutOfMemoryError" in it }
            .take(1)

    private fun status(
        port: Int,
        path: String,
    ): Int? =
        try {
            val request =
                HttpRequest
                    .newBuilder(URI("http://127.0.0.1:$port$path"))
                    .timeout(Duration.ofSeconds(5))
                    .setHeader("Host", FleetSamples.HOST)
                    .setHeader(WireHeaders.REQUEST_ID, "ordinary-${System.nanoTime()}")
                    .setHeader(WireHeaders.KEY, FleetSamples.KEY)
                    .build()
            client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode()
        } catch (_: IOException) {
            null
        }

    private fun eventually(
        message: String,
        condition: () -> Boolean,
    ) {
        repeat(ATTEMPTS) {
            if (condition()) return
            Thread.sleep(ATTEMPT_INTERVAL_MS)
        }
        fail("$message; the process is ${if (process.alive) "alive" else "gone"}")
    }

    private fun settings(): File {
        val peerPort = FreePorts.next()
        return folder.resolve("settings.json").also {
            it.writeText(
                """
                {"vm_id": "crowd", "region": "local", "failure_domain": "a", "ip": "127.0.0.1",
                 "caller_address": "127.0.0.1:$callerPort", "readiness_address": "127.0.0.1:$readinessPort",
                 "metrics_port": ${FreePorts.next()}, "peer_ports": [$peerPort, $peerPort],
                 "platform_url": "http://127.0.0.1:${link.port}", "duty_url": "http://127.0.0.1:${link.port}"}
                """.trimIndent(),
            )
        }
    }

    private fun command(): List<String> =
        listOf("java", "-Xmx48m", "-XX:MaxDirectMemorySize=24m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1") +
            listOf("-Dio.netty.allocator.type=unpooled", "-Dio.netty.noPreferDirect=true") +
            listOf("-cp", System.getProperty("java.class.path"), "io.tarragonport.daemon.MainKt", "gateway")

    companion object {
        const val HEADER_BYTES = 16_384
        const val BODY_BYTES = 1_048_576
        const val LARGE_RESPONSE_BYTES = 1_048_576

        /** Heap, direct memory, and three times what an idle process has besides. */
        const val MAXIMUM_RESIDENT_KILOBYTES = 260 * 1_024

        /** The crowd, and as many as an idle process has. */
        const val MAXIMUM_DESCRIPTORS = 400
        const val SLOW_RESPONSE_MS = 3_000L
        private const val CROWD_TIME_MS = 8_000L
        private const val ATTEMPTS = 60
        private const val ATTEMPT_INTERVAL_MS = 250L
    }
}
