package io.tarragonport.daemon.gateway.exchange

import io.netty.handler.codec.http.HttpRequest
import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.error.ExecutionStatus
import io.tarragonport.api.id.ConfigurationVersion
import io.tarragonport.core.gateway.route.RouteDecision
import io.tarragonport.core.gateway.route.WeightedServiceChoice
import io.tarragonport.daemon.gateway.ingress.CallerChannel
import io.tarragonport.daemon.gateway.ingress.CallerConnection
import io.tarragonport.daemon.gateway.ingress.CallerRequest
import io.tarragonport.daemon.gateway.ingress.CloseReason
import io.tarragonport.daemon.gateway.ingress.InFlightRequest
import io.tarragonport.daemon.gateway.ingress.RequestHandler
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Decides for each complete request whether it is served, and starts its [Exchange]. */
internal class GatewayRequestHandler(
    private val state: TrafficState,
) : RequestHandler {
    private val connections = mutableSetOf<CallerConnection>()

    override val draining: Boolean get() = state.draining
    override val buffers = state.callerBuffers

    override fun arrivalTime(): ComparableTimeMark = state.arrivals.arrivalTime()

    override fun inputReceived() = state.inputReceived()

    override fun opened(connection: CallerConnection) {
        connections += connection
    }

    override fun closed(connection: CallerConnection) {
        connections -= connection
    }

    override fun handle(
        request: CallerRequest,
        caller: CallerChannel,
    ): InFlightRequest {
        val configuration = state.configuration
        val decision =
            configuration?.decide(request.host, request.path, request.metadata.key)
                ?: RouteDecision.Refuse(ErrorKind.NOT_CONFIGURED, null)
        return when (decision) {
            is RouteDecision.Refuse -> refuse(request, caller, decision.kind, decision.version)
            is RouteDecision.Serve -> serve(request, caller, decision)
        }
    }

    override fun malformed(
        kind: ErrorKind,
        request: HttpRequest?,
    ) = state.log.malformed(kind, request?.method()?.name(), request?.uri())

    override fun inputDiscarded(
        reason: CloseReason,
        sinceClosing: Duration,
    ) = state.log.inputDiscarded(reason, sinceClosing)

    override fun connectionFailed(cause: Throwable) = state.log.connectionFailed(cause)

    /** Closes idle connections now and the others after their current response. */
    fun closeConnections() {
        val (closed, inUse) = connections.toList().partition { it.closeWhenIdle() }
        state.log.connectionsClosed(closed.size, inUse.size)
    }

    /** Sends every request in flight its response, because the process ends. */
    fun endRequests() {
        val unanswered = connections.mapNotNull { it.inFlightRequest }
        unanswered.forEach { it.processEnding() }
        state.log.requestsEnded(unanswered.size)
    }

    /** Whether any caller connection is not idle: it has a request to receive or answer, or is closing. */
    val busy: Boolean get() = connections.any { !it.idle }

    private fun serve(
        request: CallerRequest,
        caller: CallerChannel,
        decision: RouteDecision.Serve,
    ): InFlightRequest {
        val service = WeightedServiceChoice.of(decision.route, request.metadata.requestId)
        if (service == null || state.service(service) == null) {
            return refuse(request, caller, ErrorKind.NO_BACKEND_SERVER, decision.version)
        }
        if (state.endsBefore(request.receivedAt + timeLimit(request, decision))) {
            return refuse(request, caller, ErrorKind.DRAINING, decision.version, RETRY_ELSEWHERE)
        }
        val fingerprints = CrashFingerprints(request)
        state.crashes.blocking(fingerprints)?.let { blocking ->
            state.log.decision(GatewayEvents.REQUEST_BLOCKED, request, "fingerprint" to blocking, "sent" to 0)
            return refuse(request, caller, ErrorKind.BACKEND_FAILED, decision.version)
        }
        return Exchange(state, request, fingerprints, caller, decision, service).also { it.start() }
    }

    private fun timeLimit(
        request: CallerRequest,
        decision: RouteDecision.Serve,
    ): Duration = minOf(request.metadata.callerTimeout ?: decision.route.timeout, decision.route.timeout)

    private fun refuse(
        request: CallerRequest,
        caller: CallerChannel,
        kind: ErrorKind,
        version: ConfigurationVersion?,
        retryAfter: Duration? = RETRY_AFTER.takeIf { kind.status == SERVICE_UNAVAILABLE },
    ): InFlightRequest {
        state.log.decision(GatewayEvents.REFUSED, request, "kind" to kind.code, "configuration" to version)
        request.body.release()
        val errorResponse = ErrorResponse.of(kind, ExecutionStatus.NO, request.metadata.requestId, retryAfter)
        caller.respond(errorResponse.status, errorResponse.headers, errorResponse.body)
        return CompletedRequest
    }

    private object CompletedRequest : InFlightRequest {
        override fun callerDisconnected() = Unit

        override fun processEnding() = Unit

        override fun callerWritable() = Unit
    }

    private companion object {
        const val SERVICE_UNAVAILABLE = 503

        /** For example, a process without a configuration receives one within about a second. */
        val RETRY_AFTER: Duration = 500.milliseconds

        /** While a process shuts down, the other VMs accept connections. */
        val RETRY_ELSEWHERE: Duration = Duration.ZERO
    }
}
