package io.tarragonport.tool.quickstart

import io.tarragonport.standin.fleet.FleetSamples
import io.tarragonport.standin.fleet.ReceivedCall
import io.tarragonport.standin.fleet.ScriptedServer
import io.tarragonport.standin.fleet.ScriptedServer.Companion.send
import io.tarragonport.standin.fleet.ServerAnswers
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
 * Plays the users' platform for gateways that run beside it: store, backend servers and operator. It sends each kind of
 * request over the gateways in turn and prints every answer; exit status 1 if one was wrong.
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

    @Option(name = "--readiness", required = true, usage = "readiness addresses of the gateways in the same order")
    private var readiness: String = ""

    @Option(name = "--stay", usage = "keep the stand-ins running after the requests")
    private var stay: Boolean = false

    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
    private val store = StoreStandIn()

    private fun run(): Int {
        store.start(storePort)
        store.configure(FleetSamples.configuration())
        listOf("ledger-1", "ledger-2").forEach { start(it, FleetSamples.PLAIN, ::answerPlain) }
        listOf("engine-1", "engine-2").forEach { start(it, FleetSamples.STREAMS, ::answerStream) }
        readiness.split(',').firstOrNull { !becameReady(it) }?.let { address ->
            println("$address is not ready after $READY_LIMIT_MS ms")
            return FAILED
        }
        val addresses = callers.split(',')
        val wrong = CASES.filterIndexed { index, case -> !passes(case, addresses[index % addresses.size], index) }
        println("platform: ${CASES.size - wrong.size} of ${CASES.size} answers were right")
        if (stay) Thread.currentThread().join()
        return if (wrong.isEmpty()) 0 else FAILED
    }

    private fun start(
        id: String,
        service: String,
        script: (ReceivedCall, Socket) -> Unit,
    ) = store.register(id, FleetSamples.entry(service, ScriptedServer(id, script).address))

    private fun answerPlain(
        call: ReceivedCall,
        socket: Socket,
    ) = socket.getOutputStream().send(ServerAnswers.plain(call, "${call.method} ${call.target}"))

    private fun answerStream(
        call: ReceivedCall,
        socket: Socket,
    ) {
        val events = (1..EVENTS).joinToString("") { ServerAnswers.chunk(ServerAnswers.event(it)) }
        socket.getOutputStream().send(ServerAnswers.streamHead(call) + events + ServerAnswers.STREAM_END)
    }

    private fun becameReady(address: String): Boolean {
        repeat(READY_LIMIT_MS / READY_POLL_MS) {
            if (isReady(address)) return true
            Thread.sleep(READY_POLL_MS.toLong())
        }
        return false
    }

    private fun isReady(address: String): Boolean =
        try {
            val request = HttpRequest.newBuilder(URI("http://$address/readyz")).build()
            client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == SUCCESS
        } catch (_: IOException) {
            // The gateway does not listen yet; the caller asks again.
            false
        }

    private fun passes(
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
        val answer = client.send(builder.build(), HttpResponse.BodyHandlers.ofString())
        val right = answer.statusCode() == case.status && case.text in answer.body()
        val verdict = if (right) "ok" else "WRONG: expected ${case.status} with \"${case.text}\""
        println("${case.title.padEnd(TITLE_WIDTH)} ${answer.statusCode()}  $address  $verdict")
        return right
    }

    companion object {
        private const val FAILED = 1
        private const val SUCCESS = 200
        private const val EVENTS = 5
        private const val TITLE_WIDTH = 32
        private const val READY_LIMIT_MS = 30_000
        private const val READY_POLL_MS = 100
        private const val REQUEST_TIMEOUT_MS = 10_000L

        private val CASES =
            listOf(
                PlatformCase("may be repeated", "GET", "/read/a", FleetSamples.KEY, SUCCESS, "GET /read/a"),
                PlatformCase("may run once", "POST", "/post/a?x=1", FleetSamples.KEY, SUCCESS, "POST /post/a?x=1"),
                PlatformCase("event stream", "POST", "/chat/a", FleetSamples.OTHER_KEY, SUCCESS, "id: $EVENTS"),
                PlatformCase("resumable stream", "POST", "/resume/a", FleetSamples.KEY, SUCCESS, "id: $EVENTS"),
                PlatformCase("open to all", "GET", "/open/a", null, SUCCESS, "GET /open/a"),
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
