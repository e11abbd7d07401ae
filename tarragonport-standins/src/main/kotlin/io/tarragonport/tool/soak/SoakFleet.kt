package io.tarragonport.tool.soak

import io.tarragonport.standin.fleet.FleetSamples
import io.tarragonport.standin.fleet.StoreStandIn
import io.tarragonport.tool.fault.DisturbanceLog
import io.tarragonport.tool.fault.FreePorts
import io.tarragonport.tool.fault.LoopbackLink
import io.tarragonport.tool.fault.VmProcess
import java.io.File
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import java.time.Duration
import kotlin.random.Random

/** Everything of a soak: store and backend servers in this process, gateways as processes of their own. */
class SoakFleet(
    seed: Long,
    vmCount: Int,
    invariants: SoakInvariants,
) : AutoCloseable {
    val folder: File = Files.createTempDirectory("tarragonport-soak").toFile()
    val store = StoreStandIn()

    /** When the store was disturbed for all VMs. */
    val storeDisturbances = DisturbanceLog()
    val ledger = RunLedger(invariants, storeDisturbances)
    val keys = SoakKeys(store)
    private val random = Random(seed)
    private val storePort = store.start()
    private var started = 0
    private val client = HttpClient.newBuilder().connectTimeout(Duration.ofMillis(PROBE_MS)).build()

    /** Backend servers that are registered or on their way out. */
    @Volatile
    var servers: List<SoakServer> = emptyList()
        private set
    private val readiness = mutableMapOf<VmProcess, Int>()
    val vms: List<VmProcess> = List(vmCount, ::vm)

    /** Starts all parts and waits until each VM is ready. */
    fun start() {
        keys.write()
        repeat(SERVERS) { startServer(FleetSamples.PLAIN) }
        repeat(SERVERS) { startServer(FleetSamples.STREAMS) }
        vms.forEach { it.start() }
        vms.forEach { check(awaitReady(it)) { "${it.id} did not become ready, its log is in $folder" } }
    }

    /** Starts a new backend server of [service] and registers it. */
    @Synchronized
    fun startServer(service: String): SoakServer {
        val server = SoakServer("$service-${started++}", service, ledger, Random(random.nextLong()))
        server.register(store)
        servers = servers + server
        return server
    }

    /** Forgets a server that has ended. */
    @Synchronized
    fun ended(server: SoakServer) {
        servers = servers - server
        store.unregister(server.id)
        server.close()
    }

    /** Waits until [vm] says that it is ready; false if it does not in time. */
    fun awaitReady(vm: VmProcess): Boolean {
        val end = System.nanoTime() + READY_LIMIT_NANOS
        while (System.nanoTime() < end) {
            if (ready(vm)) return true
            Thread.sleep(RunLedger.POLL.inWholeMilliseconds)
        }
        return false
    }

    private fun ready(vm: VmProcess): Boolean =
        try {
            val uri = URI("http://127.0.0.1:${readiness.getValue(vm)}/readyz")
            val request = HttpRequest.newBuilder(uri).timeout(Duration.ofMillis(PROBE_MS)).build()
            client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == SUCCESS
        } catch (_: IOException) {
            // Not listening yet, or frozen: the caller asks again.
            false
        }

    override fun close() {
        vms.forEach {
            it.resume()
            it.kill()
            it.link.close()
        }
        servers.forEach { it.close() }
        store.close()
    }

    private fun vm(index: Int): VmProcess {
        val id = "gateway-$index"
        val link = LoopbackLink(storePort)
        val caller = FreePorts.next()
        val ready = FreePorts.next()
        val peer = FreePorts.next()
        val text =
            """
            {"vm_id": "$id", "region": "local", "failure_domain": "a", "ip": "127.0.0.1",
             "caller_address": "127.0.0.1:$caller", "readiness_address": "127.0.0.1:$ready",
             "metrics_port": ${FreePorts.next()}, "peer_ports": [$peer, $peer],
             "platform_url": "http://127.0.0.1:${link.port}", "duty_url": "http://127.0.0.1:${link.port}",
             "stop_seconds": $STOP_SECONDS}
            """.trimIndent()
        val settings = folder.resolve("$id.json").also { it.writeText(text) }
        val java = listOf("java", "-Xmx160m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1")
        val main = listOf("-cp", System.getProperty("java.class.path"), "io.tarragonport.daemon.MainKt", "gateway")
        return VmProcess(id, caller, link, settings, folder.resolve("$id.log"), java + main)
            .also { readiness[it] = ready }
    }

    companion object {
        /** Backend servers of each service. */
        const val SERVERS = 3

        /** Time that a gateway has to stop, and what the operating system needs to end it. */
        const val STOP_SECONDS = 6
        const val SUCCESS = 200
        private const val PROBE_MS = 1_000L
        private const val READY_LIMIT_NANOS = 30_000_000_000L
    }
}
