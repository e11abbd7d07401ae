package io.tarragonport.standin.engine

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.request.queryString
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.Routing
import io.ktor.server.routing.get
import io.ktor.server.routing.put
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import io.tarragonport.api.backend.ServiceHeader
import io.tarragonport.api.configuration.WireJson
import io.tarragonport.platform.backend.EngineError
import io.tarragonport.platform.backend.EngineErrorBody
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import java.util.concurrent.atomic.AtomicInteger

/**
 * HTTP stand-in for a plain service, such as a ledger or line control: executes any call on any path, records it and
 * responds with `{"executed": n}`, where n is the sequence number of the call.
 */
class ServiceStandIn(
    private val id: String,
    port: Int = 0,
) : AutoCloseable {
    private val executed = mutableListOf<ExecutedCall>()
    private val rejectedCalls = AtomicInteger()

    /** Faults being injected. */
    @Volatile var faults = ServiceFaults()

    private val server =
        embeddedServer(CIO, host = EngineStandIn.LOOPBACK, port = port) {
            routing {
                controlRoutes()
                route("{path...}") { handle { serve(call) } }
            }
        }

    /** Port the server listens on; available after [start]. */
    val port: Int by lazy {
        runBlocking {
            server.engine
                .resolvedConnectors()
                .first()
                .port
        }
    }

    /** Base URL for backend server clients. */
    val address: String get() = "http://${EngineStandIn.LOOPBACK}:$port"

    /** Starts the server and returns once its port is bound. */
    fun start(): ServiceStandIn {
        server.start(wait = false)
        this.port
        return this
    }

    /** Stops immediately. */
    fun stop() = server.stop(0, 0)

    override fun close() = stop()

    /** Calls executed and number of calls rejected so far. */
    fun received(): ExecutedLog = synchronized(executed) { ExecutedLog(id, executed.toList(), rejectedCalls.get()) }

    private fun Routing.controlRoutes() {
        put("/control/faults") {
            faults = WireJson.decodeFromString(ServiceFaults.serializer(), call.receiveText())
            call.respondText("{}", ContentType.Application.Json)
        }
        get("/control/received") {
            val body = WireJson.encodeToString(ExecutedLog.serializer(), received())
            call.respondText(body, ContentType.Application.Json)
        }
    }

    private suspend fun serve(call: ApplicationCall) {
        val body = call.receiveText()
        val current = consumeFaults()
        val status = current.rejectStatus
        if (current.draining) return reject(call, HttpStatusCode.ServiceUnavailable, EngineError.DRAINING)
        if (status != null) return reject(call, HttpStatusCode.fromValue(status), "rejected")
        if (current.dropBefore) return dropResponse(call)
        delay(current.delayMs)
        val number = execute(call, body)
        if (current.dropAfter) return dropResponse(call)
        call.respondText("""{"executed":$number}""", ContentType.Application.Json)
    }

    /** The faults for the next call; uses up one of [ServiceFaults.remaining] if that is set. */
    private fun consumeFaults(): ServiceFaults =
        synchronized(executed) {
            val current = faults
            val remaining = current.remaining ?: return current
            if (remaining <= 0) return ServiceFaults(delayMs = current.delayMs)
            faults = current.copy(remaining = remaining - 1)
            current
        }

    private suspend fun reject(
        call: ApplicationCall,
        status: HttpStatusCode,
        kind: String,
    ) {
        rejectedCalls.incrementAndGet()
        val body = WireJson.encodeToString(EngineErrorBody.serializer(), EngineErrorBody(EngineError(kind)))
        call.respondText(body, ContentType.Application.Json, status)
    }

    /** Declares a one-byte body and aborts the response, so that the client sees the connection close early. */
    private suspend fun dropResponse(call: ApplicationCall) =
        call.respondBytesWriter(contentLength = 1) {
            throw StreamAbortedException("response dropped by an injected fault")
        }

    private fun execute(
        call: ApplicationCall,
        body: String,
    ): Int =
        synchronized(executed) {
            val number = executed.size + 1
            executed.add(
                ExecutedCall(
                    number = number,
                    method = call.request.httpMethod.value,
                    path = call.request.path(),
                    query = call.request.queryString(),
                    idempotencyKey = call.request.headers["Idempotency-Key"],
                    body = body,
                    headers =
                        call.request.headers.entries().flatMap { (name, values) ->
                            values.map { ServiceHeader(name, it) }
                        },
                ),
            )
            number
        }
}
