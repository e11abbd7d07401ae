package io.tarragonport.standin.fleet

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.cio.CIO
import io.ktor.server.cio.CIOApplicationEngine
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.header
import io.ktor.server.request.path
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import io.ktor.server.routing.routing
import io.tarragonport.api.configuration.WireJson
import io.tarragonport.wire.ConfigurationDecoder
import io.tarragonport.wire.ConfigurationWire
import io.tarragonport.wire.ObjectChange
import io.tarragonport.wire.ObjectChanges
import io.tarragonport.wire.ObjectPage
import io.tarragonport.wire.ServerDecoder
import io.tarragonport.wire.ServerWire
import io.tarragonport.wire.StoreObjects
import io.tarragonport.wire.WireHeaders
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * Stand-in of the users' object store and of the platform's duty calls on 127.0.0.1, with faults set while it runs.
 */
class StoreStandIn : AutoCloseable {
    val state = StoreState()

    /** What is wrong at the moment. */
    @Volatile
    var fault = StoreFault.NONE

    /** Duty calls in the order of their arrival. */
    val dutyCalls: MutableList<DutyCall> = java.util.Collections.synchronizedList(mutableListOf())

    private var server: EmbeddedServer<CIOApplicationEngine, CIOApplicationEngine.Configuration>? = null

    /** Starts to listen on [port], 0 for any free one, and returns the port. */
    fun start(port: Int = 0): Int {
        val started = embeddedServer(CIO, port = port, host = HOST) { serve() }
        started.start(wait = false)
        server = started
        return runBlocking {
            started.engine
                .resolvedConnectors()
                .first()
                .port
        }
    }

    /** Writes a configuration as an operator does. */
    fun configure(configuration: ConfigurationWire) {
        val value = WireJson.encodeToJsonElement(ConfigurationWire.serializer(), configuration)
        state.store(ConfigurationDecoder.PREFIX.trimEnd('/'), ConfigurationDecoder.NAME.substringAfter('/'), value)
    }

    /** Writes the entry of a backend server as the server does. */
    fun register(
        id: String,
        entry: ServerWire,
    ) {
        val value = WireJson.encodeToJsonElement(ServerWire.serializer(), entry)
        state.store(ServerDecoder.PREFIX.trimEnd('/'), id, value)
    }

    /** Removes the entry of a backend server. */
    fun unregister(id: String) = state.remove(ServerDecoder.PREFIX.trimEnd('/'), id)

    override fun close() {
        server?.stop(0, 0)
    }

    private fun io.ktor.server.application.Application.serve() =
        routing {
            get("/objects/{kind}") { read { list(it) } }
            get("/objects/{kind}/{name}") { read { one(it) } }
            post("/objects/{kind}") { write(call, created = true) }
            put("/objects/{kind}/{name}") { write(call, created = false) }
            delete("/objects/{kind}/{name}") {
                state.remove(call.parameters["kind"].orEmpty(), call.parameters["name"].orEmpty())
                call.respondText("{}", ContentType.Application.Json)
            }
            listOf("/usage", "/scale").forEach { path -> post(path) { duty(call) } }
        }

    private suspend fun io.ktor.server.routing.RoutingContext.read(answer: suspend (ApplicationCall) -> Unit) {
        if (fault ==
            StoreFault.BUSY
        ) {
            call.respondText("busy", status = HttpStatusCode.ServiceUnavailable)
        } else {
            answer(call)
        }
    }

    private suspend fun list(call: ApplicationCall) {
        val kind = call.parameters["kind"].orEmpty()
        val from = call.request.queryParameters["watch"]?.toLong()
        if (from != null) return watch(call, kind, from)
        val page = ObjectPage(state.list(kind).map(::content), hasMore = false, state.revision)
        call.respondText(WireJson.encodeToString(ObjectPage.serializer(), page), ContentType.Application.Json)
    }

    private suspend fun watch(
        call: ApplicationCall,
        kind: String,
        from: Long,
    ) {
        val wait = (call.request.queryParameters["wait_ms"]?.toLong() ?: 0).milliseconds
        val start = TimeSource.Monotonic.markNow()
        if (fault == StoreFault.SILENT_WATCHES) delay(SILENT_FOR)
        while (true) {
            val changes = state.changes(kind, from) ?: return call.respondText("{}", status = HttpStatusCode.Gone)
            if (fault == StoreFault.BUSY) return call.respondText("busy", status = HttpStatusCode.ServiceUnavailable)
            if (changes.isNotEmpty() || start.elapsedNow() >= wait) {
                return call.respondText(changesBody(changes, from), ContentType.Application.Json)
            }
            delay(WATCH_POLL)
        }
    }

    private fun changesBody(
        changes: List<StoreChange>,
        from: Long,
    ): String {
        val revision = changes.maxOfOrNull { it.revision } ?: maxOf(from, state.revision)
        val events = changes.map { ObjectChange(it.removed, content(it.entry)) }
        return WireJson.encodeToString(ObjectChanges.serializer(), ObjectChanges(events, revision))
    }

    private suspend fun one(call: ApplicationCall) {
        val entry = state.get(call.parameters["kind"].orEmpty(), call.parameters["name"].orEmpty())
        if (entry == null) {
            call.respondText("{}", status = HttpStatusCode.NotFound)
        } else {
            call.respondText(content(entry).toString(), ContentType.Application.Json)
        }
    }

    private suspend fun write(
        call: ApplicationCall,
        created: Boolean,
    ) {
        if (fault == StoreFault.BUSY) return call.respondText("busy", status = HttpStatusCode.ServiceUnavailable)
        val body = WireJson.parseToJsonElement(call.receiveText()) as JsonObject
        val kind = call.parameters["kind"].orEmpty()
        val name = StoreObjects.nameOf(body).orEmpty()
        val expected = if (created) null else StoreObjects.versionOf(body)?.value
        val value: JsonElement = body.getValue("spec")
        val entry = state.write(kind, name, value, expected)
        when {
            fault == StoreFault.LOST_ANSWERS -> delay(LOST_FOR)
            entry != null -> call.respondText(content(entry).toString(), ContentType.Application.Json)
            else -> conflict(call, state.get(kind, name))
        }
    }

    private suspend fun conflict(
        call: ApplicationCall,
        present: StoredEntry?,
    ) {
        val status = if (present == null) HttpStatusCode.NotFound else HttpStatusCode.Conflict
        call.respondText(present?.let(::content)?.toString() ?: "{}", ContentType.Application.Json, status)
    }

    private suspend fun duty(call: ApplicationCall) {
        val fencing = call.request.header(WireHeaders.FENCING)?.toLong() ?: 0
        val holder = call.request.header(WireHeaders.DUTY_HOLDER).orEmpty()
        dutyCalls += DutyCall(call.request.path(), holder, fencing, call.receiveText())
        call.respondText("{}", ContentType.Application.Json)
    }

    private fun content(entry: StoredEntry): JsonObject =
        buildJsonObject {
            putJsonObject("metadata") {
                put("name", entry.name)
                put("revision", entry.revision)
                put("created_rev", entry.created)
            }
            put("spec", entry.value)
        }

    private companion object {
        const val HOST = "127.0.0.1"
        val WATCH_POLL = 5.milliseconds

        /** Longer than any client waits for an answer. */
        val LOST_FOR = 5_000.milliseconds

        /** Longer than any watch waits. */
        val SILENT_FOR = 60_000.milliseconds
    }
}
