package io.tarragonport.daemon.gateway.exchange

import io.netty.handler.codec.http.HttpHeaders
import io.tarragonport.core.gateway.attempt.AttemptOutcome
import kotlin.time.Duration

/** Receives the result of one attempt to run a request on a backend server. */
internal interface AttemptListener {
    /** A response of the attempt's server said that the server leaves; the attempt goes on. */
    fun serverLeaving(attempt: Attempt)

    /** The attempt's server refuses the request and wants no others for [pause]; the failure follows. */
    fun serverPausing(
        attempt: Attempt,
        pause: Duration,
    )

    /** The server sent a complete response; a response with a server error status counts as a failure. */
    fun responseReceived(
        attempt: Attempt,
        response: CompleteResponse,
    )

    /** The server sent complete events of a stream; [status] and [headers] are those of its response. */
    fun eventsReceived(
        attempt: Attempt,
        status: Int,
        headers: HttpHeaders,
        events: ByteArray,
    )

    /** The stream is complete. */
    fun streamEnded(attempt: Attempt)

    /** The deadline of the request passed before it was sent. */
    fun expired(attempt: Attempt)

    /** The attempt ended without a usable response, or without the rest of its events. */
    fun failed(
        attempt: Attempt,
        outcome: AttemptOutcome,
        reason: String,
    )
}
