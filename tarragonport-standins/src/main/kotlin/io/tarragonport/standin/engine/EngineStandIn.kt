package io.tarragonport.standin.engine

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.install
import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.request.path
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.Routing
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import io.ktor.server.routing.routing
import io.tarragonport.api.backend.CacheEvent
import io.tarragonport.api.backend.EngineRequest
import io.tarragonport.api.backend.LoadReport
import io.tarragonport.api.backend.ModelOrder
import io.tarragonport.api.backend.ModelOrderKind
import io.tarragonport.api.backend.ServiceHeader
import io.tarragonport.api.configuration.WireJson
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.platform.backend.EngineError
import io.tarragonport.platform.backend.PrefixBlocks
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.builtins.ListSerializer
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * HTTP stand-in for a model engine that speaks the engine protocol: continuous batching over a fixed number of slots,
 * priorities, prefix cache, resume, cancellation, delayed load reports, model orders and fault injection.
 *
 * It generates the text defined by [ExpectedCompletion]. `PUT /control/faults` sets [EngineFaults], and
 * `GET /control/received` returns all requests and orders received. [onCrash] performs an injected crash; by default it
 * stops the server.
 */
class EngineStandIn(
    private val settings: EngineSettings,
    private val timeSource: TimeSource = TimeSource.Monotonic,
    private val onCrash: (EngineStandIn) -> Unit = { it.stop() },
) : AutoCloseable {
    val id: String get() = settings.id

    private val semaphore = PrioritySemaphore(settings.slots)
    private val cache = EnginePrefixCache(settings.cacheBlocks)
    private val orders = ModelOrderLog()
    private val models = LoadedModels(settings.models, settings.loadMs, timeSource)
    private val generations = ConcurrentLinkedQueue<Generation>()
    private val tokensGenerated = AtomicLong()
    private val start = timeSource.markNow()
    private val loadReporter = LaggedLoadReporter(BackendServerId(settings.id), timeSource, ::measureLoad)
    private val transfers =
        CacheTransfers(
            settings = settings,
            cache = cache,
            generation = { id -> generations.lastOrNull { it.request.requestId == id } },
            crash = ::crash,
        )
    private val faultLock = Any()

    /** Faults being injected. */
    @Volatile
    var faults = EngineFaults()
        set(value) {
            field = value
            cache.gapEvery = value.cacheGapEvery
        }

    private val server =
        embeddedServer(CIO, host = LOOPBACK, port = settings.port) {
            install(HttpRequestLifecycle) { cancelCallOnClose = true }
            routing {
                engineRoutes()
                controlRoutes()
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
    val address: String get() = "http://$LOOPBACK:$port"

    /** Starts the server and returns once its port is bound. */
    fun start(): EngineStandIn {
        server.start(wait = false)
        port
        return this
    }

    /** Stops immediately and aborts the streams in progress. */
    fun stop() = server.stop(0, 0)

    override fun close() = stop()

    /** Number of completed KV cache imports. */
    val cacheImports: Int get() = transfers.completedImports

    /** All requests and orders received so far. */
    fun received(): ReceivedLog {
        val requests = generations.map { it.currentRecord() }
        return ReceivedLog(
            server = settings.id,
            requests = requests,
            orders = orders.snapshot(),
            tokensGenerated = tokensGenerated.get(),
            cancelled = requests.filter { it.cancelled }.mapNotNull { it.requestId },
        )
    }

    private fun Routing.engineRoutes() {
        post("/v1/chat/completions") { chat(call) }
        post("/v1/requests/{id}/cancel") { cancel(call) }
        get("/v1/load") { call.respondJson(LoadReport.serializer(), loadReporter.report(faults.loadLagMs)) }
        get("/v1/cache/events") { cacheEvents(call) }
        post("/v1/orders") { order(call) }
        post("/v1/kv/export") { transfers.export(call, faults) }
        post("/v1/kv/import") { transfers.import(call, faults) }
    }

    private fun Routing.controlRoutes() {
        put("/control/faults") {
            faults = WireJson.decodeFromString(EngineFaults.serializer(), call.receiveText())
            call.respondText("{}", ContentType.Application.Json)
        }
        get("/control/received") { call.respondJson(ReceivedLog.serializer(), received()) }
    }

    private suspend fun chat(call: ApplicationCall) {
        val body = call.receiveText()
        val request = WireJson.decodeFromString(EngineRequest.serializer(), body)
        val generation = Generation(request, arrivalRecord(call, body, request))
        generations.add(generation)
        val tokens = ExpectedCompletion.tokens(request.model, request.messages, request.maxTokens)
        if (rejectIfRequired(call, request, tokens)) return
        val marker = faults.crashMarker
        if (marker != null && body.contains(marker)) return crash()
        val streamFaults = consumeStreamFaults()
        try {
            coroutineScope {
                val stream =
                    launch {
                        semaphore.withSlot(request.priority) { stream(call, generation, tokens, streamFaults) }
                    }
                val cancellationWatcher =
                    launch {
                        generation.cancelled.await()
                        stream.cancel(CancellationException("cancelled by the cancel endpoint"))
                    }
                stream.join()
                cancellationWatcher.cancel()
            }
            if (generation.cancelled.isCompleted) throw StreamAbortedException("cancelled by the cancel endpoint")
        } catch (cause: CancellationException) {
            generation.disconnected = true
            throw cause
        }
    }

    private fun arrivalRecord(
        call: ApplicationCall,
        body: String,
        request: EngineRequest,
    ): ReceivedRequest =
        ReceivedRequest(
            path = call.request.path(),
            headers =
                call.request.headers.entries().flatMap { (name, values) ->
                    values.map { ServiceHeader(name, it) }
                },
            body = body,
            requestId = request.requestId.value,
            priority = request.priority,
            resumedTokens = request.resume?.tokens ?: 0,
            millisecond = start.elapsedNow().inWholeMilliseconds,
        )

    /** Responds with an error and returns true if the request cannot be served; otherwise returns false. */
    private suspend fun rejectIfRequired(
        call: ApplicationCall,
        request: EngineRequest,
        tokens: List<String>,
    ): Boolean {
        val resume = request.resume
        val status = faults.rejectStatus
        when {
            faults.draining -> call.respondError(HttpStatusCode.ServiceUnavailable, EngineError.DRAINING)
            status != null -> call.respondError(HttpStatusCode.fromValue(status), "rejected")
            !models.serves(request.model) -> call.respondError(HttpStatusCode.NotFound, "model_not_loaded")
            resume != null && resume.text != tokens.take(resume.tokens).joinToString("") ->
                call.respondError(HttpStatusCode.BadRequest, "resume_mismatch")
            else -> return false
        }
        return true
    }

    /** The faults for the next stream; uses up one of [EngineFaults.remaining] if that is set. */
    private fun consumeStreamFaults(): EngineFaults =
        synchronized(faultLock) {
            val current = faults
            val remaining = current.remaining ?: return current
            if (!current.hasStreamFaults() || remaining <= 0) return current.withoutStreamFaults()
            faults = current.copy(remaining = remaining - 1)
            current
        }

    private suspend fun stream(
        call: ApplicationCall,
        generation: Generation,
        tokens: List<String>,
        faults: EngineFaults,
    ) {
        val request = generation.request
        val firstToken = request.resume?.tokens ?: 0
        delay(prefillTime(request) * faults.straggleFactor)
        call.respondBytesWriter(ContentType.Text.EventStream) {
            val writer = ChunkWriter(this)
            val startedAt = timeSource.markNow()
            ChunkScript(request.requestId.value, tokens, faults).steps(firstToken).forEachIndexed { position, step ->
                val due = ((position + 1) / settings.tokensPerSecond).seconds * faults.straggleFactor
                delay(due - startedAt.elapsedNow())
                execute(step, generation, writer)
            }
            writer.writeFinal(request, tokens.size)
            generation.finished = true
        }
    }

    /** Time to compute the prompt and resumed tokens covered neither by a KV cache import nor by the prefix cache. */
    private fun prefillTime(request: EngineRequest): Duration {
        val promptTokens = ExpectedCompletion.promptTokens(request.messages)
        val cached = promptTokens * cache.touch(PrefixBlocks.of(request.model, request.messages))
        val reused = maxOf(cached, transfers.consumeImport(request.requestId).toDouble())
        val uncached = promptTokens + (request.resume?.tokens ?: 0) - reused
        return (uncached.coerceAtLeast(0.0) / settings.prefillTokensPerSecond).seconds
    }

    private suspend fun execute(
        step: ChunkStep,
        generation: Generation,
        writer: ChunkWriter,
    ) {
        when (step) {
            is ChunkStep.Write -> {
                writer.writeToken(step)
                generation.generatedTokens++
                tokensGenerated.incrementAndGet()
            }

            ChunkStep.Cut -> throw StreamAbortedException("stream aborted by an injected fault")

            ChunkStep.Crash -> crash()

            ChunkStep.Stall -> awaitCancellation()
        }
    }

    private fun crash(): Nothing {
        onCrash(this)
        throw StreamAbortedException("server crashed by an injected fault")
    }

    private suspend fun cancel(call: ApplicationCall) {
        val id = call.parameters["id"]
        generations.filter { it.request.requestId.value == id }.forEach { it.cancelled.complete(Unit) }
        call.respondText("{}", ContentType.Application.Json)
    }

    private suspend fun cacheEvents(call: ApplicationCall) {
        val after = call.request.queryParameters["after"]?.toLongOrNull() ?: 0
        call.respondJson(ListSerializer(CacheEvent.serializer()), cache.eventsAfter(after))
    }

    private suspend fun order(call: ApplicationCall) {
        val order = WireJson.decodeFromString(ModelOrder.serializer(), call.receiveText())
        if (orders.accept(order, faults.checkFencing)) {
            if (order.kind == ModelOrderKind.LOAD_MODEL) models.load(order.name)
            call.respondText("{}", ContentType.Application.Json)
        } else {
            call.respondError(HttpStatusCode.Conflict, "stale_fencing_number")
        }
    }

    private fun measureLoad(): LoadReport {
        val running = semaphore.runningCount
        return LoadReport(
            server = BackendServerId(settings.id),
            ageMs = 0,
            running = running,
            waiting = semaphore.waitingCount,
            cacheUsedShare = cache.usedShare,
            tokensPerSecond = running * settings.tokensPerSecond / faults.straggleFactor,
            draining = faults.draining,
            models = models.reported(),
        )
    }

    companion object {
        const val LOOPBACK = "127.0.0.1"
    }
}
