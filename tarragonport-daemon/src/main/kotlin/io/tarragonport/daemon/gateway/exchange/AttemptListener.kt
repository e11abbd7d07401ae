package io.tarragonport.daemon.gateway.exchange

import io.netty.handler.codec.http.HttpHeaders
import io.tarragonport.core.gateway.attempt.AttemptOutcome

/** Learns what comes of sending a request to one backend server. */
internal interface AttemptListener {
    /** The server's complete answer, which is a failure of the server if its status says so. */
    fun answered(
        attempt: Attempt,
        answer: CompleteAnswer,
    )

    /** Whole events of a stream; [headers] are those of the server's answer. */
    fun events(
        attempt: Attempt,
        status: Int,
        headers: HttpHeaders,
        events: ByteArray,
    )

    /** The stream is complete. */
    fun streamEnded(attempt: Attempt)

    /** No usable answer, or no further events. */
    fun failed(
        attempt: Attempt,
        outcome: AttemptOutcome,
        reason: String,
    )
}
