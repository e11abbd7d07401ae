package io.tarragonport.tool.quickstart

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import io.tarragonport.tool.ToolArguments
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.kohsuke.args4j.Option
import java.io.IOException
import kotlin.system.exitProcess
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Sends each kind of request of one example deployment to its VMs in turn and prints every response with the VM and the
 * backend server that produced it. The exit status is 1 if a VM did not get ready or a response was incorrect.
 */
class QuickstartMain {
    @Option(name = "--deployment", required = true, usage = "chimeneas or orahovica")
    private var deployment: String = ""

    @Option(name = "--callers", required = true, usage = "caller addresses of the VMs, ip:port, separated by commas")
    private var callers: String = ""

    private val client = HttpClient(CIO) { install(HttpTimeout) { requestTimeoutMillis = REQUEST_TIMEOUT_MS } }

    private suspend fun run(): Int {
        val cases = DeploymentCases.cases(deployment) ?: return usageError("unknown deployment \"$deployment\"")
        val addresses = callers.split(',')
        addresses.forEach { address ->
            if (!waitUntilReady(address)) {
                println("$address is not ready after $READY_TIMEOUT")
                return EXIT_FAILURE
            }
        }
        val incorrect = cases.filterIndexed { index, case -> !runCase(case, addresses[index % addresses.size]) }
        println("$deployment: ${cases.size - incorrect.size} of ${cases.size} responses were correct")
        return if (incorrect.isEmpty()) 0 else EXIT_FAILURE
    }

    private suspend fun waitUntilReady(address: String): Boolean {
        val start = TimeSource.Monotonic.markNow()
        while (start.elapsedNow() < READY_TIMEOUT) {
            if (isReady(address)) {
                return true
            }
            delay(READY_POLL)
        }
        return false
    }

    private suspend fun isReady(address: String): Boolean =
        try {
            client.get("http://$address/readyz").status.isSuccess()
        } catch (_: IOException) {
            false
        }

    private suspend fun runCase(
        case: QuickstartCase,
        address: String,
    ): Boolean {
        val response = send(case, address)
        val problem = case.check(response)
        val verdict = problem?.let { "WRONG: $it" } ?: "ok"
        println(
            "${case.title.padEnd(
                TITLE_COLUMN_WIDTH,
            )} ${response.status}  ${response.vm} <- ${response.server.ifEmpty { "-" }}  $verdict",
        )
        println(
            "    " +
                response.body
                    .lines()
                    .first { it.isNotEmpty() || response.body.isEmpty() }
                    .take(PREVIEW_LENGTH),
        )
        return problem == null
    }

    private suspend fun send(
        case: QuickstartCase,
        address: String,
    ): QuickstartResponse {
        val response =
            client.post("http://$address${case.path}") {
                case.key?.let { header(HttpHeaders.Authorization, "Bearer $it") }
                case.headers.forEach { (name, value) -> header(name, value) }
                contentType(ContentType.Application.Json)
                setBody(case.body)
            }
        return QuickstartResponse(
            status = response.status.value,
            body = response.bodyAsText(),
            vm = response.headers["X-Served-By"].orEmpty(),
            server = response.headers["X-Backend-Server"].orEmpty(),
        )
    }

    companion object {
        private const val REQUEST_TIMEOUT_MS = 30_000L
        private const val EXIT_FAILURE = 1
        private const val TITLE_COLUMN_WIDTH = 32
        private const val PREVIEW_LENGTH = 140
        private val READY_TIMEOUT = 30.seconds
        private val READY_POLL = 100.milliseconds

        private fun usageError(message: String): Int {
            System.err.println(message)
            return ToolArguments.INCORRECT_USAGE
        }

        @JvmStatic
        fun main(arguments: Array<String>) {
            val command = ToolArguments.parse(QuickstartMain(), arguments)
            exitProcess(runBlocking { command.run() })
        }
    }
}
