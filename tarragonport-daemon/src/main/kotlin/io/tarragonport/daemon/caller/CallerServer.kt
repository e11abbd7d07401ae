package io.tarragonport.daemon.caller

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.install
import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.response.header
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondText
import io.ktor.server.routing.Routing
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.tarragonport.api.configuration.PoolKind
import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.error.ExecutionStatus
import io.tarragonport.api.error.RequestError
import io.tarragonport.daemon.dispatch.RequestEvents
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.collectLatest
import kotlinx.coroutines.flow.filterNotNull
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * HTTP server for callers, bound to the caller address of the settings (Ktor CIO).
 *
 * [additionalRoutes] adds endpoints of other components of the daemon to the same port. `/readyz` returns 200 only if
 * [otherComponentsReady] returns true as well.
 */
class CallerServer(
    private val context: CallerContext,
    private val otherComponentsReady: () -> Boolean = { true },
    private val additionalRoutes: Routing.() -> Unit = {},
) {
    private val logger = KotlinLogging.logger {}
    private val settings = context.settings
    private val ids = RequestIds(settings.vmId, Clock.System.now().toEpochMilliseconds())
    private val inFlight = InFlightRequests()
    private val validator = RequestValidator(context)
    private val executor = PreparedRequestExecutor(context, inFlight)
    private val atMostOnce = AtMostOnce(context.intents, context.executor.dispatcher, context.scope)
    private val bodies = BodyReader(settings.bodyLimitBytes, settings.bodyTimeoutMs.milliseconds)
    private val chats = ChatHandler(context, validator, executor, atMostOnce, bodies)
    private val services = ServiceHandler(context, validator, executor, atMostOnce, bodies)
    private val activeCalls = AtomicInteger()
    private val watchers = mutableListOf<Job>()

    /** True once a draining server rejects new requests. */
    @Volatile private var closed = false

    /** True from the start of [drain]. */
    @Volatile var draining = false
        private set

    private val server =
        embeddedServer(
            CIO,
            host = settings.callerAddress.substringBeforeLast(':'),
            port = settings.callerAddress.substringAfterLast(':').toInt(),
        ) {
            install(HttpRequestLifecycle) { cancelCallOnClose = true }
            routing {
                trafficRoutes()
                probeRoutes()
                additionalRoutes()
                route("{path...}") { handle { serve(call) { RequestErrors.unknownPath.left() } } }
            }
        }

    /** The bound port; valid after [start]. */
    val port: Int by lazy {
        runBlocking {
            server.engine
                .resolvedConnectors()
                .first()
                .port
        }
    }

    /** True while load balancers should send requests to this VM. */
    val ready: Boolean
        get() =
            !draining &&
                otherComponentsReady() &&
                context.configuration.current.value != null &&
                !context.configuration.isolated.value

    /** Number of requests in progress, from their first byte to the last byte of their response. */
    val active: Int get() = activeCalls.get()

    /** Starts listening, and watching for withdrawn keys and isolation. */
    fun start() {
        watchers += context.scope.launch { watchKeys() }
        watchers += context.scope.launch { watchIsolation() }
        server.start(wait = false)
        // Resolves the lazy property, which blocks, before the first request.
        port
    }

    /**
     * Shuts down gracefully: `/readyz` returns 503 at once, requests are accepted for the configured time, and every
     * accepted request is served to its end, however long it takes. Later requests are refused, because a caller that
     * ignores readiness would otherwise prevent the process from terminating.
     */
    suspend fun drain() {
        draining = true
        delay(settings.drainAcceptMs)
        closed = true
        while (activeCalls.get() > 0 || context.executor.dispatcher.size > 0) {
            delay(DRAIN_POLL_INTERVAL)
        }
        stop()
    }

    /** Stops the server; requests in progress have [graceMs] to end. */
    fun stop(graceMs: Long = STOP_GRACE_MS) {
        watchers.forEach { it.cancel() }
        server.stop(graceMs, graceMs)
    }

    private suspend fun watchKeys() =
        context.configuration.current
            .filterNotNull()
            .collect(inFlight::abortWithdrawn)

    private suspend fun watchIsolation(): Unit =
        context.configuration.isolated.collectLatest { isolated ->
            if (!isolated) return@collectLatest
            delay(ISOLATED_STREAM_GRACE)
            inFlight.abortAll(RequestErrors.isolated)
        }

    private fun Routing.trafficRoutes() {
        post("/v1/chat/completions") { serve(call) { chats.handle(call, it) } }
        route("${ServiceHandler.PREFIX}{service}") {
            handle { serve(call) { services.handle(call, it) } }
            route("{path...}") { handle { serve(call) { services.handle(call, it) } } }
        }
        get("/v1/models") { serve(call) { models(call) } }
    }

    private fun Routing.probeRoutes() {
        get("/healthz") { call.respondText("ok") }
        get("/readyz") {
            if (ready) call.respondText("ready") else call.respondText("not ready", status = NOT_READY)
        }
        get("/metrics") {
            val text = ByteArrayOutputStream()
            METRICS_FORMAT.write(text, context.metrics.registry.scrape())
            call.respondBytes(text.toByteArray(), ContentType.parse(PrometheusTextFormatWriter.CONTENT_TYPE))
        }
    }

    private suspend fun models(call: ApplicationCall): Either<RequestError, Unit> =
        either {
            val configuration = validator.configuration().bind()
            val identity = validator.identity(configuration, call.request.headers).bind()
            val names = RouteCheck(configuration, PoolKind.MODEL).names(identity.record)
            if (identity.record == null && names.isEmpty()) raise(RequestErrors.keyMissing)
            call.respondText(ResponseFormat.models(names), ContentType.Application.Json)
        }

    /** Serves one request; [handler] returns an error if no response was started. */
    private suspend fun serve(
        call: ApplicationCall,
        handler: suspend (RequestValidator.Ids) -> Either<RequestError, Unit>,
    ) {
        activeCalls.incrementAndGet()
        val requestIds = requestIds(call)
        try {
            setResponseHeaders(call, requestIds)
            if (closed) refuse(call, RequestErrors.draining) else handler(requestIds).onLeft { refuse(call, it) }
        } catch (cause: CancellationException) {
            throw cause
        } catch (cause: IOException) {
            logger.debug { "caller of ${requestIds.id} disconnected: ${cause.javaClass.simpleName}" }
        } catch (cause: Exception) {
            respondInternalError(call, requestIds, cause)
        } finally {
            activeCalls.decrementAndGet()
        }
    }

    private fun requestIds(call: ApplicationCall): RequestValidator.Ids {
        val id = ids.next()
        val callerId = RequestIds.fromCaller(call.request.headers[CallerHeaders.REQUEST_ID])
        return RequestValidator.Ids(id, callerId ?: id.value, context.timeSource.markNow())
    }

    private fun setResponseHeaders(
        call: ApplicationCall,
        requestIds: RequestValidator.Ids,
    ) {
        call.response.header(CallerHeaders.SERVED_BY, settings.vmId.value)
        call.response.header(CallerHeaders.REQUEST_ID, requestIds.visibleId)
        if (draining) call.response.header(HttpHeaders.Connection, "close")
    }

    private suspend fun refuse(
        call: ApplicationCall,
        error: RequestError,
    ) {
        context.metrics.ended(null, error.kind.code)
        ResponseHeaders.refuse(call, error)
    }

    /** Logs only the type and stack of the error: its message may quote data sent by a caller. */
    private suspend fun respondInternalError(
        call: ApplicationCall,
        requestIds: RequestValidator.Ids,
        cause: Exception,
    ) {
        logger.at(Level.ERROR) {
            message = RequestEvents.UNEXPECTED.name
            payload =
                mapOf(
                    "event" to RequestEvents.UNEXPECTED.number,
                    "request" to requestIds.id.value,
                    "error" to cause.javaClass.name,
                    "at" to cause.stackTrace.take(LOGGED_STACK_FRAMES).joinToString(" < "),
                )
        }
        if (call.response.isCommitted) return
        ResponseHeaders.refuse(
            call,
            RequestError(ErrorKind.INTERNAL, "an error in this VM", ExecutionStatus.UNKNOWN),
        )
    }

    companion object {
        private val NOT_READY = HttpStatusCode.ServiceUnavailable
        private val METRICS_FORMAT = PrometheusTextFormatWriter.create()

        /** Streams may continue this long on an isolated VM; then they are aborted, as their keys may be withdrawn. */
        private val ISOLATED_STREAM_GRACE = 5.seconds
        private val DRAIN_POLL_INTERVAL = 20.milliseconds
        private const val STOP_GRACE_MS = 500L
        private const val LOGGED_STACK_FRAMES = 5
    }
}
