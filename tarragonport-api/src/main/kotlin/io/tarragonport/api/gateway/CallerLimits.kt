package io.tarragonport.api.gateway

import kotlin.time.Duration

/** Bounds of what a caller may send and how long it may take or stay idle. */
data class CallerLimits(
    val headerBytes: Int,
    val bodyBytes: Int,
    val headerTimeout: Duration,
    val idleTimeout: Duration,
)
