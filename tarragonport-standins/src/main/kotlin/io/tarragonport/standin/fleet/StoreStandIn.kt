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
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonUnquotedLiteral
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * Stand-in on 127.0.0.1 for the object store and for the platform calls reserved to the leaseholder, with faults that
 * can be changed at run time.
 */
class StoreStandIn : AutoCloseable {
    val state = StoreState()

    /** The fault being injected. */
    @Volatile
    var fault = StoreFault.NONE

    /** Leaseholder calls in order of arrival. */
    val dutyCalls: MutableList<DutyCall> = java.util.Collections.synchronizedList(mutableListOf())

    private var server: EmbeddedServer<CIOApplicationEngine, CIOApplicationEngine.Configuration>? = null

    /** Starts the server on [port], or on a free port if 0, and returns the port. */
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

    /** Writes a configuration, as an operator would. */
    fun configure(configuration: ConfigurationWire) {
        val value = WireJson.encodeToJsonElement(ConfigurationWire.serializer(), configuration)
        state.put(ConfigurationDecoder.PREFIX.trimEnd('/'), ConfigurationDecoder.NAME.substringAfter('/'), value)
    }

    /** Writes the entry of a backend server, as the server itself would. */
    fun register(
        id: String,
        entry: ServerWire,
    ) {
        val value = WireJson.encodeToJsonElement(ServerWire.serializer(), entry)
        state.put(ServerDecoder.PREFIX.trimEnd('/'), id, value)
    }

    /** Writes [text] among the entries of the backend servers, as another writer might. */
    @OptIn(ExperimentalSerializationApi::class)
    fun registerText(
        id: String,
        text: String,
    ) {
        state.put(ServerDecoder.PREFIX.trimEnd('/'), id, JsonUnquotedLiteral(text))
    }

    /** Removes the entry of a backend server. */
    fun unregister(id: String) = state.remove(ServerDecoder.PREFIX.trimEnd('/'), id)

    override fun close() {
        server?.stop(0, 0)
    }

    private fun io.ktor.server.application.Application.serve() =
        routing {
            get("/objects/{kind}") { readUnlessBusy { listObjects(it) } }
            get("/objects/{kind}/{name}") { readUnlessBusy { getObject(it) } }
            post("/objects/{kind}") { write(call, create = true) }
            put("/objects/{kind}/{name}") { write(call, create = false) }
            delete("/objects/{kind}/{name}") {
                state.remove(call.parameters["kind"].orEmpty(), call.parameters["name"].orEmpty())
                call.respondText("{}", ContentType.Application.Json)
            }
            listOf("/usage", "/scale").forEach { path -> post(path) { recordDutyCall(call) } }
        }

    private suspend fun io.ktor.server.routing.RoutingContext.readUnlessBusy(
        respond: suspend (ApplicationCall) -> Unit,
    ) {
        if (fault == StoreFault.BUSY) {
            call.respondText("busy", status = HttpStatusCode.ServiceUnavailable)
        } else {
            respond(call)
        }
    }

    private suspend fun listObjects(call: ApplicationCall) {
        val kind = call.parameters["kind"].orEmpty()
        val after = call.request.queryParameters["watch"]?.toLong()
        if (after != null) return watch(call, kind, after)
        val page = ObjectPage(state.list(kind).map(::objectJson), hasMore = false, state.revision)
        call.respondText(WireJson.encodeToString(ObjectPage.serializer(), page), ContentType.Application.Json)
    }

    private suspend fun watch(
        call: ApplicationCall,
        kind: String,
        after: Long,
    ) {
        val wait = (call.request.queryParameters["wait_ms"]?.toLong() ?: 0).milliseconds
        val start = TimeSource.Monotonic.markNow()
        if (fault == StoreFault.SILENT_WATCHES) delay(SILENT_WATCH_DELAY)
        while (true) {
            val changes = state.changes(kind, after) ?: return call.respondText("{}", status = HttpStatusCode.Gone)
            if (fault == StoreFault.BUSY) return call.respondText("busy", status = HttpStatusCode.ServiceUnavailable)
            if (changes.isNotEmpty() || start.elapsedNow() >= wait) {
                return call.respondText(changesBody(changes, after), ContentType.Application.Json)
            }
            delay(WATCH_POLL_INTERVAL)
        }
    }

    private fun changesBody(
        changes: List<StoreChange>,
        after: Long,
    ): String {
        val revision = changes.maxOfOrNull { it.revision } ?: maxOf(after, state.revision)
        val events = changes.map { ObjectChange(it.removed, objectJson(it.entry)) }
        return WireJson.encodeToString(ObjectChanges.serializer(), ObjectChanges(events, revision))
    }

    private suspend fun getObject(call: ApplicationCall) {
        val entry = state.get(call.parameters["kind"].orEmpty(), call.parameters["name"].orEmpty())
        if (entry == null) {
            call.respondText("{}", status = HttpStatusCode.NotFound)
        } else {
            call.respondText(objectJson(entry).toString(), ContentType.Application.Json)
        }
    }

    private suspend fun write(
        call: ApplicationCall,
        create: Boolean,
    ) {
        if (fault == StoreFault.BUSY) return call.respondText("busy", status = HttpStatusCode.ServiceUnavailable)
        val body = WireJson.parseToJsonElement(call.receiveText()) as JsonObject
        val kind = call.parameters["kind"].orEmpty()
        val name = StoreObjects.nameOf(body).orEmpty()
        val expectedRevision = if (create) null else StoreObjects.versionOf(body)?.value
        val value: JsonElement = body.getValue("spec")
        val entry = state.putIfRevision(kind, name, value, expectedRevision)
        when {
            fault == StoreFault.LOST_ANSWERS -> delay(LOST_RESPONSE_DELAY)
            entry != null -> call.respondText(objectJson(entry).toString(), ContentType.Application.Json)
            else -> respondConflict(call, state.get(kind, name))
        }
    }

    private suspend fun respondConflict(
        call: ApplicationCall,
        current: StoredEntry?,
    ) {
        val status = if (current == null) HttpStatusCode.NotFound else HttpStatusCode.Conflict
        call.respondText(current?.let(::objectJson)?.toString() ?: "{}", ContentType.Application.Json, status)
    }

    private suspend fun recordDutyCall(call: ApplicationCall) {
        val fencingToken = call.request.header(WireHeaders.FENCING)?.toLong() ?: 0
        val holder = call.request.header(WireHeaders.DUTY_HOLDER).orEmpty()
        dutyCalls += DutyCall(call.request.path(), holder, fencingToken, call.receiveText())
        call.respondText("{}", ContentType.Application.Json)
    }

    private fun objectJson(entry: StoredEntry): JsonObject =
        buildJsonObject {
            putJsonObject("metadata") {
                put("name", entry.name)
                put("revision", entry.revision)
                put("created_rev", entry.createdRevision)
            }
            put("spec", entry.value)
        }

    private companion object {
        const val HOST = "127.0.0.1"
        val WATCH_POLL_INTERVAL = 5.milliseconds

        /** Longer than the timeout of any client. */
        val LOST_RESPONSE_DELAY = 5_000.milliseconds

        /** Longer than the wait time of any watch. */
        val SILENT_WATCH_DELAY = 60_000.milliseconds
    }
}
