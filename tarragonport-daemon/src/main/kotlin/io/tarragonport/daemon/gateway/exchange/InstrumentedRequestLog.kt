package io.tarragonport.daemon.gateway.exchange

import io.github.oshai.kotlinlogging.KotlinLogging
import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.event.LogEvent
import io.tarragonport.api.gateway.RegisteredServer
import io.tarragonport.daemon.gateway.ingress.CallerRequest
import io.tarragonport.daemon.gateway.ingress.CloseReason
import kotlin.time.Duration
import kotlin.time.TimeSource

private val logger = KotlinLogging.logger {}

/** Writes structured log lines and updates the metrics. */
internal class InstrumentedRequestLog(
    private val metrics: GatewayMetrics,
    clock: TimeSource,
) : RequestLog {
    private val rateLimiter = LogRateLimiter(clock)

    override fun decision(
        event: LogEvent,
        request: CallerRequest,
        vararg fields: Pair<String, Any?>,
    ) = write(event, request, fields)

    override fun ended(
        request: CallerRequest,
        route: String,
        outcome: String,
        milliseconds: Long,
        vararg fields: Pair<String, Any?>,
    ) {
        metrics.requests.labelValues(route, outcome).inc()
        metrics.duration.labelValues(route).observe(milliseconds / MILLISECONDS_PER_SECOND)
        val result = arrayOf<Pair<String, Any?>>("route" to route, "outcome" to outcome, "ms" to milliseconds)
        write(GatewayEvents.ENDED, request, result + fields)
    }

    override fun malformed(
        kind: ErrorKind,
        method: String?,
        target: String?,
    ) = logEvent(
        GatewayEvents.MALFORMED,
        "kind" to kind.code,
        "method" to method,
        "target" to target?.take(MAXIMUM_TARGET_LENGTH),
    )

    override fun connectionsClosed(
        idle: Int,
        inUse: Int,
    ) = logEvent(GatewayEvents.CONNECTIONS_CLOSED, "idle" to idle, "in_use" to inUse)

    override fun requestsEnded(inFlight: Int) = logEvent(GatewayEvents.REQUESTS_ENDED, "in_flight" to inFlight)

    override fun inputDiscarded(
        reason: CloseReason,
        sinceClosing: Duration,
    ) = logEvent(
        GatewayEvents.INPUT_DISCARDED,
        "reason" to reason,
        "ms_since_closing" to sinceClosing.inWholeMilliseconds,
    )

    override fun unexpectedInput(server: RegisteredServer) =
        logEvent(GatewayEvents.UNEXPECTED_INPUT, "server" to server.id)

    override fun connectionFailed(cause: Throwable) =
        logEvent(GatewayEvents.CALLER_CONNECTION_FAILED, "reason" to cause.message)

    private fun write(
        event: LogEvent,
        request: CallerRequest,
        fields: Array<out Pair<String, Any?>>,
    ) = logEvent(event, "request" to request.metadata.requestId, *fields)

    /** Counts [event] and logs it within the rate limit. */
    fun logEvent(
        event: LogEvent,
        vararg fields: Pair<String, Any?>,
    ) {
        metrics.events.labelValues(event.name).inc()
        if (!rateLimiter.tryAcquire()) return metrics.droppedLines.inc()
        logger.atInfo {
            message = event.name
            payload =
                buildMap {
                    put("event", event.number)
                    fields.forEach { (name, value) -> put(name, value?.toString()) }
                }
        }
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1000.0
        const val MAXIMUM_TARGET_LENGTH = 80
    }
}
