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
 * The endpoints for callers, on the address of the settings (Ktor CIO).
 *
 * [moreRoutes] adds endpoints of other parts of the daemon to the same port, [otherPartsReady] what they contribute to
 * `/readyz`.
 */
class CallerServer(
    private val context: CallerContext,
    private val otherPartsReady: () -> Boolean = { true },
    private val moreRoutes: Routing.() -> Unit = {},
) {
    private val logger = KotlinLogging.logger {}
    private val settings = context.settings
    private val ids = RequestIds(settings.vmId, Clock.System.now().toEpochMilliseconds())
    private val inFlight = InFlight()
    private val intake = RequestValidator(context)
    private val execution = Execution(context, inFlight)
    private val atMostOnce = AtMostOnce(context.intents, context.runner.dispatcher, context.scope)
    private val bodies = BodyReader(settings.bodyLimitBytes, settings.bodyTimeoutMs.milliseconds)
    private val chats = ChatHandler(context, intake, execution, atMostOnce, bodies)
    private val services = ServiceHandler(context, intake, execution, atMostOnce, bodies)
    private val activeCalls = AtomicInteger()
    private val watchers = mutableListOf<Job>()

    /** True once a draining server takes no further requests. */
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
                moreRoutes()
                route("{path...}") { handle { serve(call) { RequestErrors.unknownPath.left() } } }
            }
        }

    /** Port in use; valid after [start]. */
    val port: Int by lazy {
        runBlocking {
            server.engine
                .resolvedConnectors()
                .first()
                .port
        }
    }

    /** True while new callers should come here. */
    val ready: Boolean
        get() =
            !draining &&
                otherPartsReady() &&
                context.configuration.current.value != null &&
                !context.configuration.isolated.value

    /** Requests being served, from the first byte to the last. */
    val active: Int get() = activeCalls.get()

    /** Starts listening and watching for withdrawn keys. */
    fun start() {
        watchers += context.scope.launch { watchKeys() }
        watchers += context.scope.launch { watchIsolation() }
        server.start(wait = false)
        port
    }

    /**
     * Shuts down gracefully: `/readyz` turns to 503 at once, requests are accepted for the time of the settings, and
     * every request that was accepted is served to its end, however long it takes. Later requests are refused, because
     * a caller that ignores readiness would otherwise keep the process from ending.
     */
    suspend fun drain() {
        draining = true
        delay(settings.drainAcceptMs)
        closed = true
        while (activeCalls.get() > 0 || context.runner.dispatcher.size > 0) {
            delay(DRAIN_POLL)
        }
        stop()
    }

    /** Stops; requests that are still being served get [graceMs] to end. */
    fun stop(graceMs: Long = GRACE_MS) {
        watchers.forEach { it.cancel() }
        server.stop(graceMs, graceMs)
    }

    private suspend fun watchKeys() =
        context.configuration.current
            .filterNotNull()
            .collect(inFlight::cutWithdrawn)

    private suspend fun watchIsolation(): Unit =
        context.configuration.isolated.collectLatest { isolated ->
            if (!isolated) return@collectLatest
            delay(ISOLATED_STREAM_TIME)
            inFlight.cutAll(RequestErrors.isolated)
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
            val configuration = intake.configuration().bind()
            val identity = intake.identity(configuration, call.request.headers).bind()
            val names = RouteCheck(configuration, PoolKind.MODEL).names(identity.record)
            if (identity.record == null && names.isEmpty()) raise(RequestErrors.keyMissing)
            call.respondText(ResponseFormat.models(names), ContentType.Application.Json)
        }

    /** Serves one request; [handler] returns a refusal if nothing was answered yet. */
    private suspend fun serve(
        call: ApplicationCall,
        handler: suspend (RequestValidator.Ids) -> Either<RequestError, Unit>,
    ) {
        activeCalls.incrementAndGet()
        val requestIds = requestIds(call)
        try {
            answerHeaders(call, requestIds)
            if (closed) refuse(call, RequestErrors.draining) else handler(requestIds).onLeft { refuse(call, it) }
        } catch (cause: CancellationException) {
            throw cause
        } catch (cause: IOException) {
            logger.debug { "caller of ${requestIds.id} is gone: ${cause.javaClass.simpleName}" }
        } catch (cause: Exception) {
            unexpected(call, requestIds, cause)
        } finally {
            activeCalls.decrementAndGet()
        }
    }

    private fun requestIds(call: ApplicationCall): RequestValidator.Ids {
        val id = ids.next()
        val chosen = RequestIds.chosen(call.request.headers[CallerHeaders.REQUEST_ID])
        return RequestValidator.Ids(id, chosen ?: id.value, context.timeSource.markNow())
    }

    private fun answerHeaders(
        call: ApplicationCall,
        requestIds: RequestValidator.Ids,
    ) {
        call.response.header(CallerHeaders.SERVED_BY, settings.vmId.value)
        call.response.header(CallerHeaders.REQUEST_ID, requestIds.visible)
        if (draining) call.response.header(HttpHeaders.Connection, "close")
    }

    private suspend fun refuse(
        call: ApplicationCall,
        error: RequestError,
    ) {
        context.metrics.ended(null, error.kind.code)
        ResponseHeaders.refuse(call, error)
    }

    /** The log names the type of the error only: its message may quote what a caller sent. */
    private suspend fun unexpected(
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
                    "at" to cause.stackTrace.take(STACK_LINES).joinToString(" < "),
                )
        }
        if (call.response.isCommitted) return
        ResponseHeaders.refuse(call, RequestError(ErrorKind.INTERNAL, "an error in this VM", ExecutionStatus.UNKNOWN))
    }

    companion object {
        private val NOT_READY = HttpStatusCode.ServiceUnavailable
        private val METRICS_FORMAT = PrometheusTextFormatWriter.create()

        /** Streams may go on this long after a VM became isolated (section 5 of the design page). */
        private val ISOLATED_STREAM_TIME = 5.seconds
        private val DRAIN_POLL = 20.milliseconds
        private const val GRACE_MS = 500L
        private const val STACK_LINES = 5
    }
}
