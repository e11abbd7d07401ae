package io.tarragonport.daemon.gateway.ingress

import io.netty.handler.codec.http.HttpRequest
import io.tarragonport.api.error.ErrorKind
import io.tarragonport.core.gateway.overload.BufferBudget
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/** Handles the requests of caller connections; all calls come from the traffic thread. */
internal interface RequestHandler {
    /** Whether the process is shutting down, so that connections close after their current response. */
    val draining: Boolean

    /** What all callers' connections may hold in memory. */
    val buffers: BufferBudget

    /** The earliest time at which bytes that are read now can have arrived. */
    fun arrivalTime(): ComparableTimeMark

    /** Bytes of a caller are being read. */
    fun inputReceived()

    fun opened(connection: CallerConnection)

    fun closed(connection: CallerConnection)

    /** Handles [request]; the response is sent to [caller] during the call or later. */
    fun handle(
        request: CallerRequest,
        caller: CallerChannel,
    ): InFlightRequest

    /** A malformed request was refused before it was complete. */
    fun malformed(
        kind: ErrorKind,
        request: HttpRequest?,
    )

    /** Bytes arrived on a connection [sinceClosing] after this process had decided to close it. */
    fun inputDiscarded(
        reason: CloseReason,
        sinceClosing: Duration,
    )

    /** A caller connection failed. */
    fun connectionFailed(cause: Throwable)
}
