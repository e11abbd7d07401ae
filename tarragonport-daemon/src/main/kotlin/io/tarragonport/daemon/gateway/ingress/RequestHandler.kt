package io.tarragonport.daemon.gateway.ingress

import io.netty.handler.codec.http.HttpRequest
import io.tarragonport.api.error.ErrorKind
import kotlin.time.ComparableTimeMark

/** Takes complete requests from caller connections; all calls come from the traffic thread. */
internal interface RequestHandler {
    /** Whether the process is stopping, so that connections end with their current answer. */
    val draining: Boolean

    fun now(): ComparableTimeMark

    fun opened(connection: CallerConnection)

    fun closed(connection: CallerConnection)

    /** Handles [request]; the answer goes to [caller], at once or later. */
    fun handle(
        request: CallerRequest,
        caller: CallerChannel,
    ): RequestTarget

    /** A request was refused because of its form, before it was complete. */
    fun malformed(
        kind: ErrorKind,
        request: HttpRequest?,
    )

    /** A connection broke. */
    fun connectionFailed(cause: Throwable)
}
