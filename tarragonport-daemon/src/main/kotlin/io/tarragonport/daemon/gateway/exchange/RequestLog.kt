package io.tarragonport.daemon.gateway.exchange

import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.event.LogEvent
import io.tarragonport.daemon.gateway.ingress.CallerRequest

/** Writes one line for each decision on a request and counts its outcome. */
internal interface RequestLog {
    /** A decision on [request]; [fields] are the inputs that decided it. */
    fun decision(
        event: LogEvent,
        request: CallerRequest,
        vararg fields: Pair<String, Any?>,
    )

    /** The last decision on [request]: its [outcome] after [milliseconds]. */
    fun ended(
        request: CallerRequest,
        route: String,
        outcome: String,
        milliseconds: Long,
        vararg fields: Pair<String, Any?>,
    )

    /** A request was refused because of its form. */
    fun malformed(
        kind: ErrorKind,
        method: String?,
        target: String?,
    )

    /** The connection to a caller broke. */
    fun connectionFailed(cause: Throwable)
}
