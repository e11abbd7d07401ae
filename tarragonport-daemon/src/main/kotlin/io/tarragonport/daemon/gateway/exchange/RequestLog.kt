package io.tarragonport.daemon.gateway.exchange

import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.event.LogEvent
import io.tarragonport.api.gateway.RegisteredServer
import io.tarragonport.daemon.gateway.ingress.CallerRequest
import io.tarragonport.daemon.gateway.ingress.CloseReason
import kotlin.time.Duration

/** Logs each decision on a request and counts its outcome. */
internal interface RequestLog {
    /** Logs a decision on [request]; [fields] are the inputs of the decision. */
    fun decision(
        event: LogEvent,
        request: CallerRequest,
        vararg fields: Pair<String, Any?>,
    )

    /** Logs and counts the end of [request] with its [outcome] after [milliseconds]. */
    fun ended(
        request: CallerRequest,
        route: String,
        outcome: String,
        milliseconds: Long,
        vararg fields: Pair<String, Any?>,
    )

    /** Logs that a malformed request was refused. */
    fun malformed(
        kind: ErrorKind,
        method: String?,
        target: String?,
    )

    /** Logs that [idle] connections were closed after the stop signal and that [inUse] others have a request. */
    fun connectionsClosed(
        idle: Int,
        inUse: Int,
    )

    /** Logs that the process ends and [inFlight] requests got a response before they were complete. */
    fun requestsEnded(inFlight: Int)

    /** Logs that bytes of a caller were discarded because its connection was being closed for [reason]. */
    fun inputDiscarded(
        reason: CloseReason,
        sinceClosing: Duration,
    )

    /** Logs that a connection to [server] was closed because bytes arrived on it that belong to no request. */
    fun unexpectedInput(server: RegisteredServer)

    /** Logs that the connection to a caller failed. */
    fun connectionFailed(cause: Throwable)
}
