package io.tarragonport.daemon.gateway.exchange

import kotlin.time.Duration

/**
 * Limits of one attempt.
 *
 * [responseTimeout] applies to the response or the first event, [eventTimeout] to each further event. They are null if
 * the request is not repeatable, because then the attempt must not be abandoned. [bodyBytes] limits a response that is
 * buffered until it is complete.
 */
internal data class AttemptLimits(
    val responseTimeout: Duration?,
    val eventTimeout: Duration?,
    val bodyBytes: Int = MAXIMUM_BODY_BYTES,
) {
    private companion object {
        /** Responses of plain services are a few kilobytes long. */
        const val MAXIMUM_BODY_BYTES = 8 * 1024 * 1024
    }
}
