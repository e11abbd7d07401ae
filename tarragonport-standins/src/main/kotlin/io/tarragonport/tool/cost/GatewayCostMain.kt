package io.tarragonport.tool.cost

import io.tarragonport.standin.fleet.FleetSamples
import io.tarragonport.tool.ToolArguments
import io.tarragonport.tool.load.ProcessStatistics
import io.tarragonport.wire.WireHeaders
import org.kohsuke.args4j.Option
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.system.exitProcess

/**
 * Measures the processor time of one gateway process in a large fleet: for its start, for each idle second, and for
 * each request while the process is cold and once it is warm.
 *
 * The gateway is started by `bin/gateway-cost`. The time of a request is that of the traffic thread during a batch,
 * divided by the number of requests; four in five are streams.
 */
class GatewayCostMain {
    @Option(name = "--pid", required = true, usage = "process id of the gateway")
    private var pid: Long = 0

    @Option(name = "--store-port", required = true, usage = "port of the store stand-in")
    private var storePort: Int = 0

    @Option(name = "--caller", required = true, usage = "caller address of the gateway, ip:port")
    private var caller: String = ""

    @Option(name = "--readiness", required = true, usage = "readiness address of the gateway, ip:port")
    private var readiness: String = ""

    @Option(name = "--engines", usage = "number of model engines")
    private var engines: Int = 74

    @Option(name = "--vms", usage = "number of VMs in the fleet, including the measured one")
    private var vms: Int = 95

    @Option(name = "--events", usage = "number of events of each stream")
    private var events: Int = 40

    @Option(name = "--rate", usage = "requests per second")
    private var rate: Int = 10

    @Option(name = "--batches", usage = "number of batches of 100 requests")
    private var batches: Int = 4

    @Option(name = "--idle-seconds", usage = "seconds without requests before the first batch")
    private var idleSeconds: Int = 10

    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

    private fun run(): Int {
        val statistics = ProcessStatistics(pid)
        CostFleet(engines, vms - 1, events, EVENT_INTERVAL_MS).use { fleet ->
            fleet.start(storePort)
            if (!awaitReady()) {
                System.err.println("$readiness is not ready after ${READY_TIMEOUT.toSeconds()} s")
                return EXIT_FAILURE
            }
            report("start until ready", statistics.cpuSeconds(), "ms")
            val idleStart = statistics.cpuSeconds()
            Thread.sleep(TimeUnit.SECONDS.toMillis(idleSeconds.toLong()))
            val idlePerSecond = (statistics.cpuSeconds() - idleStart) / idleSeconds
            report("idle", idlePerSecond, "ms a second")
            repeat(batches) { batch -> measureBatch(batch, statistics) }
            println("${"resident memory".padEnd(LABEL_WIDTH)} ${"%.1f".format(statistics.residentMb())} MB")
        }
        return 0
    }

    private fun measureBatch(
        batch: Int,
        statistics: ProcessStatistics,
    ) {
        val before = statistics.cpuSeconds(TRAFFIC_THREAD)
        val responses =
            List(BATCH_SIZE) { index ->
                Thread.sleep(TimeUnit.SECONDS.toMillis(1) / rate)
                send(batch * BATCH_SIZE + index)
            }
        val failed = responses.count { it.join() != HTTP_OK }
        val used = statistics.cpuSeconds(TRAFFIC_THREAD) - before
        report("requests ${batch * BATCH_SIZE + 1} to ${(batch + 1) * BATCH_SIZE}", used / BATCH_SIZE, "ms a request")
        if (failed > 0) println("  $failed of them failed")
    }

    private fun send(number: Int): CompletableFuture<Int> {
        val stream = number % REQUESTS_PER_PLAIN_ONE != 0
        val builder =
            HttpRequest
                .newBuilder(URI("http://$caller${if (stream) "/chat/" else "/read/"}$number"))
                .timeout(Duration.ofSeconds(REQUEST_TIMEOUT_SECONDS))
                .POST(HttpRequest.BodyPublishers.ofString("body"))
                .setHeader("Host", FleetSamples.HOST)
                .setHeader(WireHeaders.KEY, FleetSamples.KEY)
                .setHeader(WireHeaders.REQUEST_ID, "cost-$number")
        if (stream) {
            val shared = number % SHARED_PROMPTS
            builder.setHeader(WireHeaders.MODEL, "m").setHeader(WireHeaders.TOKENS, "17020,120")
            builder.setHeader(WireHeaders.PROMPT_PARTS, "a$shared:6300,b$shared:7000,c$number:3720")
        }
        return client
            .sendAsync(builder.build(), HttpResponse.BodyHandlers.ofString())
            .handle { response, _ -> response?.statusCode() ?: 0 }
    }

    private fun awaitReady(): Boolean {
        val end = System.nanoTime() + READY_TIMEOUT.toNanos()
        while (System.nanoTime() < end) {
            if (isReady()) return true
            Thread.sleep(READY_POLL_MS)
        }
        return false
    }

    private fun isReady(): Boolean =
        try {
            val request = HttpRequest.newBuilder(URI("http://$readiness/readyz")).build()
            client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == HTTP_OK
        } catch (_: IOException) {
            // The gateway is not listening yet; the caller polls again.
            false
        }

    private fun report(
        label: String,
        seconds: Double,
        unit: String,
    ) = println("${label.padEnd(LABEL_WIDTH)} ${"%.2f".format(seconds * MS_PER_SECOND)} $unit")

    companion object {
        private const val EXIT_FAILURE = 1
        private const val HTTP_OK = 200
        private const val BATCH_SIZE = 100
        private const val REQUESTS_PER_PLAIN_ONE = 5
        private const val SHARED_PROMPTS = 60
        private const val EVENT_INTERVAL_MS = 10L
        private const val REQUEST_TIMEOUT_SECONDS = 10L
        private const val READY_POLL_MS = 20L
        private const val LABEL_WIDTH = 24
        private const val MS_PER_SECOND = 1000.0
        private const val TRAFFIC_THREAD = "traffic"
        private val READY_TIMEOUT: Duration = Duration.ofSeconds(30)

        init {
            System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host")
        }

        @JvmStatic
        fun main(arguments: Array<String>) {
            exitProcess(ToolArguments.parse(GatewayCostMain(), arguments).run())
        }
    }
}
