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
import kotlin.time.Duration.Companion.nanoseconds

/** The fleet of a soak run: store and backend servers in this process, gateways as separate processes. */
class SoakFleet(
    seed: Long,
    vmCount: Int,
    invariants: SoakInvariants,
) : AutoCloseable {
    val folder: File = Files.createTempDirectory("tarragonport-soak").toFile()
    val store = StoreStandIn()

    /** Intervals in which the store was disturbed for all VMs. */
    val storeDisturbances = DisturbanceLog()
    val history = RequestHistory(invariants, storeDisturbances)
    val keys = SoakKeys(store)
    private val random = Random(seed)
    private val storePort = store.start()
    private var startedServers = 0
    private val client = HttpClient.newBuilder().connectTimeout(Duration.ofMillis(PROBE_TIMEOUT_MS)).build()

    /** Backend servers that are registered or leaving. */
    @Volatile
    var servers: List<SoakServer> = emptyList()
        private set
    private val readinessPorts = mutableMapOf<VmProcess, Int>()
    val vms: List<VmProcess> = List(vmCount, ::createVm)

    /** Starts all servers and VMs and waits until each VM is ready. */
    fun start() {
        keys.write()
        repeat(SERVERS) { startServer(FleetSamples.PLAIN) }
        repeat(SERVERS) { startServer(FleetSamples.STREAMS) }
        vms.forEach { it.start() }
        vms.forEach {
            check(awaitReady(it)) {
                "${it.id} did not become ready within ${READY_TIMEOUT_NANOS.nanoseconds}; its log is in $folder"
            }
        }
    }

    /** Starts a new backend server of [service] and registers it. */
    @Synchronized
    fun startServer(service: String): SoakServer {
        val server = SoakServer("$service-${startedServers++}", service, history, Random(random.nextLong()))
        server.register(store)
        servers = servers + server
        return server
    }

    /** Removes a server and its entry in the store, and closes it. */
    @Synchronized
    fun remove(server: SoakServer) {
        servers = servers - server
        store.unregister(server.id)
        server.close()
    }

    /** Waits until [vm] is ready; false if it is not ready after [READY_TIMEOUT_NANOS]. */
    fun awaitReady(vm: VmProcess): Boolean {
        val deadline = System.nanoTime() + READY_TIMEOUT_NANOS
        while (System.nanoTime() < deadline) {
            if (isReady(vm)) return true
            Thread.sleep(RequestHistory.POLL_INTERVAL.inWholeMilliseconds)
        }
        return false
    }

    private fun isReady(vm: VmProcess): Boolean =
        try {
            val uri = URI("http://127.0.0.1:${readinessPorts.getValue(vm)}/readyz")
            val request = HttpRequest.newBuilder(uri).timeout(Duration.ofMillis(PROBE_TIMEOUT_MS)).build()
            client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == SUCCESS
        } catch (_: IOException) {
            // The process does not listen yet or is frozen; awaitReady polls again.
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

    private fun createVm(index: Int): VmProcess {
        val id = "gateway-$index"
        val link = LoopbackLink(storePort)
        val callerPort = FreePorts.next()
        val readinessPort = FreePorts.next()
        val peerPort = FreePorts.next()
        val settingsJson =
            """
            {"vm_id": "$id", "region": "local", "failure_domain": "a", "ip": "127.0.0.1",
             "caller_address": "127.0.0.1:$callerPort", "readiness_address": "127.0.0.1:$readinessPort",
             "metrics_port": ${FreePorts.next()}, "peer_ports": [$peerPort, $peerPort],
             "platform_url": "http://127.0.0.1:${link.port}", "duty_url": "http://127.0.0.1:${link.port}",
             "stop_seconds": $STOP_SECONDS}
            """.trimIndent()
        val settings = folder.resolve("$id.json").also { it.writeText(settingsJson) }
        val java = listOf("java", "-Xmx160m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1")
        val main = listOf("-cp", System.getProperty("java.class.path"), "io.tarragonport.daemon.MainKt", "gateway")
        return VmProcess(id, callerPort, link, settings, folder.resolve("$id.log"), java + main)
            .also { readinessPorts[it] = readinessPort }
    }

    companion object {
        /** Number of backend servers of each service. */
        const val SERVERS = 3

        /** Time limit for the graceful stop of a gateway, including the end of its process. */
        const val STOP_SECONDS = 6
        const val SUCCESS = 200
        private const val PROBE_TIMEOUT_MS = 1_000L
        private const val READY_TIMEOUT_NANOS = 30_000_000_000L
    }
}
