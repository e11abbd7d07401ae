package io.tarragonport.daemon.gateway.exchange

import kotlin.time.Duration

/**
 * Limits of one attempt: the timeouts for the response or first event and between events, null where the attempt must
 * not be abandoned because the request is not repeatable, and the size of a response that is buffered until it is
 * complete.
 */
internal data class AttemptLimits(
    val responseTimeout: Duration?,
    val eventTimeout: Duration?,
    val bodyBytes: Int = MAXIMUM_BODY_BYTES,
) {
    private companion object {
        /** Responses of plain services have a few kilobytes. */
        const val MAXIMUM_BODY_BYTES = 8 * 1024 * 1024
    }
}
