package io.tarragonport.daemon.gateway.exchange

import kotlin.time.Duration

/**
 * Bounds of one attempt: the time to the answer or first event and between events, null where a silent server may not
 * be given up, and the size of an answer that is held until it is complete.
 */
internal data class AttemptLimits(
    val firstAnswer: Duration?,
    val pause: Duration?,
    val bodyBytes: Int = BODY_BYTES,
) {
    private companion object {
        /** Plain services answer with a few kilobytes. */
        const val BODY_BYTES = 8 * 1024 * 1024
    }
}
