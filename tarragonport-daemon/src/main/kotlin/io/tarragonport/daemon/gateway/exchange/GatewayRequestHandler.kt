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
import io.tarragonport.daemon.gateway.ingress.RequestHandler
import io.tarragonport.daemon.gateway.ingress.RequestTarget
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Decides for each complete request whether it is served, and begins its [Exchange]. */
internal class GatewayRequestHandler(
    private val state: TrafficState,
) : RequestHandler {
    private val connections = mutableSetOf<CallerConnection>()

    override val draining: Boolean get() = state.draining

    override fun now(): ComparableTimeMark = state.now()

    override fun opened(connection: CallerConnection) {
        connections += connection
    }

    override fun closed(connection: CallerConnection) {
        connections -= connection
    }

    override fun handle(
        request: CallerRequest,
        caller: CallerChannel,
    ): RequestTarget {
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

    override fun connectionFailed(cause: Throwable) = state.log.connectionFailed(cause)

    /** Ends idle connections, and the others with their current answer. */
    fun finishConnections() = connections.toList().forEach { it.finish() }

    /** Whether any connection of a caller still carries a request. */
    val busy: Boolean get() = connections.any { !it.idle }

    private fun serve(
        request: CallerRequest,
        caller: CallerChannel,
        decision: RouteDecision.Serve,
    ): RequestTarget {
        val service = WeightedServiceChoice.of(decision.route, request.metadata.requestId)
        if (service == null || state.service(service) == null) {
            return refuse(request, caller, ErrorKind.NO_BACKEND_SERVER, decision.version)
        }
        if (state.crashes.holds(request)) return refuse(request, caller, ErrorKind.BACKEND_FAILED, decision.version)
        return Exchange(state, request, caller, decision, service).also { it.start() }
    }

    private fun refuse(
        request: CallerRequest,
        caller: CallerChannel,
        kind: ErrorKind,
        version: ConfigurationVersion?,
    ): RequestTarget {
        state.log.decision(GatewayEvents.REFUSED, request, "kind" to kind.code, "configuration" to version)
        request.body.release()
        val retryAfter = RETRY_AFTER.takeIf { kind.status == SERVICE_UNAVAILABLE }
        val refusal = RefusalAnswer.of(kind, ExecutionStatus.NO, request.metadata.requestId, retryAfter)
        caller.answer(refusal.status, refusal.headers, refusal.body)
        return NothingToDo
    }

    private object NothingToDo : RequestTarget {
        override fun callerDisconnected() = Unit

        override fun writable() = Unit
    }

    private companion object {
        const val SERVICE_UNAVAILABLE = 503

        /** A process that has no configuration yet has one within about a second. */
        val RETRY_AFTER: Duration = 500.milliseconds
    }
}
