package io.tarragonport.standin.platform

import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.cio.CIO
import io.ktor.server.cio.CIOApplicationEngine
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.header
import io.ktor.server.request.receiveText
import io.ktor.server.response.header
import io.ktor.server.response.respond
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import io.ktor.server.routing.routing
import io.tarragonport.api.configuration.WireJson
import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.platform.ObjectListing
import io.tarragonport.api.platform.PutCondition
import io.tarragonport.api.platform.ServerOrder
import io.tarragonport.api.platform.UsageReport
import io.tarragonport.platform.ServersResponse
import io.tarragonport.platform.TransferRequest
import io.tarragonport.platform.VmsResponse
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.serialization.builtins.MapSerializer
import kotlinx.serialization.builtins.serializer
import kotlin.coroutines.EmptyCoroutineContext
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/**
 * HTTP stand-in for all platform interfaces on 127.0.0.1, with faults that can be changed at run time.
 *
 * Besides the object store, backend server inventory and orders, usage reports, VM list and weight transfers it serves
 * `PUT /control/faults` (faults by interface name), `GET /control/received`, `PUT /control/vms`, `PUT /control/reclaim`
 * and `PUT /control/restore`.
 */
class PlatformStandIn(
    inventory: InventoryFile = InventoryFile(),
    vms: VmsFile = VmsFile(),
    clock: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    seed: Long = 1,
) : AutoCloseable {
    val objects = ObjectStandIn()
    val backend = BackendStandIn(inventory, clock)
    val usage = UsageStandIn(clock)
    val vmList = VmListStandIn(vms.vms, clock)
    val weights = WeightStandIn(inventory.transfersPerMinute, clock)
    val faults = FaultTable(seed)
    val calls = CallCounter()

    private var server: EmbeddedServer<CIOApplicationEngine, CIOApplicationEngine.Configuration>? = null

    /** Starts the server on [port], or on a free port if 0, and returns the port. */
    fun start(port: Int = 0): Int {
        val started =
            embeddedServer(CIO, port = port, host = HOST) {
                serve()
            }
        started.start(wait = false)
        server = started
        return runBlocking {
            started.engine
                .resolvedConnectors()
                .first()
                .port
        }
    }

    override fun close() {
        server?.stop(0, STOP_TIMEOUT_MS)
    }

    /** Everything the stand-in received since its start. */
    fun received(): PlatformReceivedLog =
        PlatformReceivedLog(
            orders = backend.received(),
            usage = usage.received(),
            transfers = weights.received(),
            calls = calls.snapshot(),
            waitingWatches = calls.waitingWatches(),
            mostWaitingWatches = calls.peakWaitingWatches(),
        )

    private fun Application.serve() {
        routing {
            objectRoutes()
            backendRoutes()
            usageVmAndWeightRoutes()
            controlRoutes()
        }
    }

    private fun Route.objectRoutes() {
        get("/objects") { handle(call, PlatformInterface.OBJECTS, CallKind.READ) { listObjects(call) } }
        get("/watch") { handle(call, PlatformInterface.OBJECTS, CallKind.WATCH) { watch(call) } }
        get("/objects/{name...}") { handle(call, PlatformInterface.OBJECTS, CallKind.READ) { getObject(call) } }
        put("/objects/{name...}") { handle(call, PlatformInterface.OBJECTS, CallKind.WRITE) { putObject(call, it) } }
        delete("/objects/{name...}") { handle(call, PlatformInterface.OBJECTS, CallKind.WRITE) { deleteObject(call) } }
    }

    private fun Route.backendRoutes() {
        get("/backend/{domain}/servers") { handle(call, PlatformInterface.BACKEND, CallKind.READ) { servers(call) } }
        post("/backend/{domain}/orders") { handle(call, PlatformInterface.BACKEND, CallKind.WRITE) { order(call, it) } }
    }

    private fun Route.usageVmAndWeightRoutes() {
        put("/usage/{organisation}/{window}") {
            handle(call, PlatformInterface.USAGE, CallKind.WRITE) { reportUsage(call, it) }
        }
        get("/vms") { handle(call, PlatformInterface.VMS, CallKind.READ) { listVms() } }
        post("/weights/{model}/transfers") {
            handle(call, PlatformInterface.WEIGHTS, CallKind.WRITE) { transfer(call, it) }
        }
    }

    private fun Route.controlRoutes() {
        put("/control/faults") {
            control(call) {
                faults.replace(WireJson.decodeFromString(FAULTS_SERIALIZER, it))
            }
        }
        put("/control/vms") {
            control(call) {
                vmList.replace(WireJson.decodeFromString(VmsFile.serializer(), it).vms)
            }
        }
        put("/control/reclaim") {
            control(call) {
                backend.reclaim(WireJson.decodeFromString(ReclaimRequest.serializer(), it))
            }
        }
        put("/control/restore") {
            control(call) {
                backend.restore(WireJson.decodeFromString(RestoreRequest.serializer(), it))
            }
        }
        get("/control/received") {
            call.respondText(WireJson.encodeToString(PlatformReceivedLog.serializer(), received()))
        }
    }

    private suspend fun control(
        call: ApplicationCall,
        apply: (String) -> Unit,
    ) {
        try {
            apply(call.receiveText())
            call.respond(HttpStatusCode.NoContent)
        } catch (exception: IllegalArgumentException) {
            call.respondText(exception.message.orEmpty(), status = HttpStatusCode.BadRequest)
        }
    }

    /**
     * Counts the call, applies the faults and sends the response.
     *
     * A write whose body has arrived takes effect even if the client disconnects while the write is delayed, as on a
     * platform that queues writes.
     */
    private suspend fun handle(
        call: ApplicationCall,
        target: PlatformInterface,
        kind: CallKind,
        respond: suspend (body: String) -> StandInResponse,
    ) {
        calls.count(target, kind)
        val body = if (kind == CallKind.WRITE) call.receiveText() else ""
        val context = if (kind == CallKind.WRITE) NonCancellable else EmptyCoroutineContext
        val result = withContext(context) { withFaults(target) { respond(body) } }
        if (kind == CallKind.WRITE && result.status != UNAVAILABLE && faults.dropsResponse(target)) {
            call.respond(DroppedResponse())
        } else {
            send(call, result)
        }
    }

    private suspend fun withFaults(
        target: PlatformInterface,
        respond: suspend () -> StandInResponse,
    ): StandInResponse {
        val fault = faults[target]
        if (fault.delayMs > 0) {
            delay(fault.delayMs.milliseconds)
        }
        if (fault.unavailable) {
            return StandInResponse(UNAVAILABLE, "unavailable")
        }
        return try {
            respond()
        } catch (exception: IllegalArgumentException) {
            StandInResponse(HttpStatusCode.BadRequest.value, exception.message.orEmpty())
        }
    }

    private suspend fun send(
        call: ApplicationCall,
        response: StandInResponse,
    ) {
        response.version?.let { call.response.header(HttpHeaders.ETag, "\"$it\"") }
        response.retryAfter?.let { call.response.header(HttpHeaders.RetryAfter, seconds(it)) }
        call.respondText(response.body, status = HttpStatusCode.fromValue(response.status))
    }

    private fun seconds(duration: Duration): Long = ceil(duration.toDouble(DurationUnit.SECONDS)).toLong()

    private fun listObjects(call: ApplicationCall): StandInResponse {
        val listing = objects.list(parameter(call, "prefix"), call.request.queryParameters["values"] == "true")
        return StandInResponse(OK, WireJson.encodeToString(ObjectListing.serializer(), listing))
    }

    private suspend fun watch(call: ApplicationCall): StandInResponse {
        val prefix = parameter(call, "prefix")
        val after = ObjectVersion(parameter(call, "after").toLong())
        val wait = parameter(call, "wait_ms").toLong().milliseconds
        val listing =
            calls.whileWaiting {
                awaitWatchesUnblocked()
                objects
                    .watch(prefix, after, wait, faults[PlatformInterface.OBJECTS].lagMs.milliseconds)
                    .also { awaitWatchesUnblocked() }
            }
        return StandInResponse(OK, WireJson.encodeToString(ObjectListing.serializer(), listing))
    }

    private suspend fun awaitWatchesUnblocked() {
        while (faults[PlatformInterface.OBJECTS].watchStuck) {
            delay(WATCH_FAULT_POLL_MS)
        }
    }

    private fun getObject(call: ApplicationCall): StandInResponse =
        objects.get(objectName(call))?.let { StandInResponse(OK, it.value, it.version) }
            ?: StandInResponse(NOT_FOUND, "no such object")

    private fun putObject(
        call: ApplicationCall,
        body: String,
    ): StandInResponse {
        val condition =
            when (call.request.header(HttpHeaders.IfNoneMatch)) {
                "*" -> PutCondition.Absent
                else -> matchedVersion(call)?.let(PutCondition::Version)
            }
        return objectResponse(objects.put(objectName(call), body, condition))
    }

    private fun deleteObject(call: ApplicationCall): StandInResponse {
        val name = objectName(call)
        return when {
            objects.get(name) == null -> StandInResponse(NOT_FOUND, "no such object")
            else -> objectResponse(objects.delete(name, matchedVersion(call)))
        }
    }

    private fun objectResponse(outcome: ObjectOutcome): StandInResponse =
        when (outcome) {
            is ObjectOutcome.Written -> StandInResponse(if (outcome.created) CREATED else OK, "", outcome.version)
            is ObjectOutcome.ConditionFailed -> StandInResponse(PRECONDITION_FAILED, "version differs", outcome.current)
            ObjectOutcome.TooLarge ->
                StandInResponse(TOO_LARGE, "value exceeds ${ObjectStandIn.VALUE_LIMIT_BYTES} bytes")
        }

    private fun servers(call: ApplicationCall): StandInResponse {
        val lag = faults[PlatformInterface.BACKEND].lagMs.milliseconds
        val servers = backend.servers(domain(call), lag)
        return StandInResponse(OK, WireJson.encodeToString(ServersResponse.serializer(), ServersResponse(servers)))
    }

    private fun order(
        call: ApplicationCall,
        body: String,
    ): StandInResponse {
        val order = WireJson.decodeFromString(ServerOrder.serializer(), body)
        return StandInResponse(backend.order(domain(call), order), "")
    }

    private fun reportUsage(
        call: ApplicationCall,
        body: String,
    ): StandInResponse {
        val report = WireJson.decodeFromString(UsageReport.serializer(), body)
        val matches =
            call.parameters["organisation"] == report.organisation.value &&
                call.parameters["window"] == report.window.toString()
        require(matches) { "organisation and window differ from the path" }
        return StandInResponse(usage.report(report), "")
    }

    private fun listVms(): StandInResponse {
        val vms = vmList.vms(faults[PlatformInterface.VMS].lagMs.milliseconds)
        return StandInResponse(OK, WireJson.encodeToString(VmsResponse.serializer(), VmsResponse(vms)))
    }

    private fun transfer(
        call: ApplicationCall,
        body: String,
    ): StandInResponse {
        val request = WireJson.decodeFromString(TransferRequest.serializer(), body)
        val retryAfter = weights.transfer(call.parameters["model"].orEmpty(), request)
        return when (retryAfter) {
            null -> StandInResponse(WeightStandIn.ACCEPTED, "")
            else -> StandInResponse(WeightStandIn.TOO_MANY_REQUESTS, "transfer rate used up", retryAfter = retryAfter)
        }
    }

    private fun parameter(
        call: ApplicationCall,
        name: String,
    ): String = requireNotNull(call.request.queryParameters[name]) { "parameter $name is missing" }

    private fun objectName(call: ApplicationCall): String =
        call.parameters
            .getAll("name")
            .orEmpty()
            .joinToString("/")

    private fun domain(call: ApplicationCall): FailureDomainId = FailureDomainId(call.parameters["domain"].orEmpty())

    private fun matchedVersion(call: ApplicationCall): ObjectVersion? =
        call.request.header(HttpHeaders.IfMatch)?.let { ObjectVersion(it.trim('"').toLong()) }

    companion object {
        private const val HOST = "127.0.0.1"
        private const val STOP_TIMEOUT_MS = 200L
        private const val WATCH_FAULT_POLL_MS = 20L
        private const val OK = 200
        private const val CREATED = 201
        private const val NOT_FOUND = 404
        private const val PRECONDITION_FAILED = 412
        private const val TOO_LARGE = 413
        private const val UNAVAILABLE = 503
        private val FAULTS_SERIALIZER = MapSerializer(String.serializer(), Faults.serializer())
    }
}
