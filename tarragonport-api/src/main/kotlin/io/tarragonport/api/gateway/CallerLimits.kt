package io.tarragonport.api.gateway

import kotlin.time.Duration

/**
 * Limits on the size of a caller's requests, the time to send them and the idle time of its connections.
 *
 * [headerTimeout] limits the time for the headers and each pause while the body is received.
 */
data class CallerLimits(
    val headerBytes: Int,
    val bodyBytes: Int,
    val headerTimeout: Duration,
    val idleTimeout: Duration,
)
