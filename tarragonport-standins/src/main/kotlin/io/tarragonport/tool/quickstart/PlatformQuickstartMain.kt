package io.tarragonport.tool.quickstart

import io.tarragonport.standin.fleet.FleetSamples
import io.tarragonport.standin.fleet.ReceivedCall
import io.tarragonport.standin.fleet.ScriptedServer
import io.tarragonport.standin.fleet.ScriptedServer.Companion.send
import io.tarragonport.standin.fleet.ServerResponses
import io.tarragonport.standin.fleet.StoreStandIn
import io.tarragonport.tool.ToolArguments
import io.tarragonport.wire.WireHeaders
import org.kohsuke.args4j.Option
import java.io.IOException
import java.net.Socket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import kotlin.system.exitProcess

/**
 * Simulates the users' platform for gateways on this machine, with its store, its backend servers and its operator.
 *
 * Sends each kind of request through the gateways in turn and prints every response. The exit status is 1 if a gateway
 * did not get ready or a response was incorrect.
 */
class PlatformQuickstartMain {
    @Option(name = "--store-port", required = true, usage = "port of the store stand-in")
    private var storePort: Int = 0

    @Option(
        name = "--callers",
        required = true,
        usage = "caller addresses of the gateways, ip:port, separated by commas",
    )
    private var callers: String = ""

    @Option(
        name = "--readiness",
        required = true,
        usage = "readiness addresses of the gateways, ip:port, in the order of --callers, separated by commas",
    )
    private var readiness: String = ""

    @Option(name = "--stay", usage = "keep the stand-ins running after the requests")
    private var stay: Boolean = false

    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
    private val store = StoreStandIn()

    private fun run(): Int {
        store.start(storePort)
        store.configure(FleetSamples.configuration())
        listOf("ledger-1", "ledger-2").forEach { start(it, FleetSamples.PLAIN, ::respondPlain) }
        listOf("engine-1", "engine-2").forEach { start(it, FleetSamples.STREAMS, ::respondWithStream) }
        readiness.split(',').firstOrNull { !waitUntilReady(it) }?.let { address ->
            println("$address is not ready after $READY_TIMEOUT_MS ms")
            return EXIT_FAILURE
        }
        val addresses = callers.split(',')
        val incorrect = CASES.filterIndexed { index, case -> !runCase(case, addresses[index % addresses.size], index) }
        println("platform: ${CASES.size - incorrect.size} of ${CASES.size} responses were correct")
        if (stay) Thread.currentThread().join()
        return if (incorrect.isEmpty()) 0 else EXIT_FAILURE
    }

    private fun start(
        id: String,
        service: String,
        script: (ReceivedCall, Socket) -> Unit,
    ) = store.register(id, FleetSamples.entry(service, ScriptedServer(id, script).address))

    private fun respondPlain(
        call: ReceivedCall,
        socket: Socket,
    ) = socket.getOutputStream().send(ServerResponses.plain(call, "${call.method} ${call.target}"))

    private fun respondWithStream(
        call: ReceivedCall,
        socket: Socket,
    ) {
        val events = (1..EVENTS).joinToString("") { ServerResponses.chunk(ServerResponses.event(it)) }
        socket.getOutputStream().send(ServerResponses.streamHead(call) + events + ServerResponses.STREAM_END)
    }

    private fun waitUntilReady(address: String): Boolean {
        repeat(READY_TIMEOUT_MS / READY_POLL_MS) {
            if (isReady(address)) return true
            Thread.sleep(READY_POLL_MS.toLong())
        }
        return false
    }

    private fun isReady(address: String): Boolean =
        try {
            val request = HttpRequest.newBuilder(URI("http://$address/readyz")).build()
            client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == HTTP_OK
        } catch (_: IOException) {
            // The gateway is not listening yet; the caller polls again.
            false
        }

    private fun runCase(
        case: PlatformCase,
        address: String,
        number: Int,
    ): Boolean {
        val builder =
            HttpRequest
                .newBuilder(URI("http://$address${case.path}"))
                .timeout(Duration.ofMillis(REQUEST_TIMEOUT_MS))
                .method(case.method, HttpRequest.BodyPublishers.ofString("body"))
                .setHeader("Host", FleetSamples.HOST)
                .setHeader(WireHeaders.REQUEST_ID, "quickstart-$number")
        case.key?.let { builder.setHeader(WireHeaders.KEY, it) }
        val response = client.send(builder.build(), HttpResponse.BodyHandlers.ofString())
        val correct = response.statusCode() == case.expectedStatus && case.expectedText in response.body()
        val verdict = if (correct) "ok" else "WRONG: expected ${case.expectedStatus} with \"${case.expectedText}\""
        println("${case.title.padEnd(TITLE_COLUMN_WIDTH)} ${response.statusCode()}  $address  $verdict")
        return correct
    }

    companion object {
        private const val EXIT_FAILURE = 1
        private const val HTTP_OK = 200

        /** Number of events in each streamed response. */
        private const val EVENTS = 5
        private const val TITLE_COLUMN_WIDTH = 32
        private const val READY_TIMEOUT_MS = 30_000
        private const val READY_POLL_MS = 100
        private const val REQUEST_TIMEOUT_MS = 10_000L

        private val CASES =
            listOf(
                PlatformCase("may be repeated", "GET", "/read/a", FleetSamples.KEY, HTTP_OK, "GET /read/a"),
                PlatformCase("may run once", "POST", "/post/a?x=1", FleetSamples.KEY, HTTP_OK, "POST /post/a?x=1"),
                PlatformCase("event stream", "POST", "/chat/a", FleetSamples.OTHER_KEY, HTTP_OK, "id: $EVENTS"),
                PlatformCase("resumable stream", "POST", "/resume/a", FleetSamples.KEY, HTTP_OK, "id: $EVENTS"),
                PlatformCase("open to all", "GET", "/open/a", null, HTTP_OK, "GET /open/a"),
                PlatformCase("unknown key", "GET", "/read/a", "wrong", 401, "key_unknown"),
                PlatformCase("no key", "GET", "/read/a", null, 401, "key_missing"),
                PlatformCase("unknown route", "GET", "/nowhere/a", FleetSamples.KEY, 404, "unknown_path"),
            )

        init {
            System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host")
        }

        @JvmStatic
        fun main(arguments: Array<String>) {
            exitProcess(ToolArguments.parse(PlatformQuickstartMain(), arguments).run())
        }
    }
}
