package io.tarragonport.core.limit

import kotlin.time.Duration

/** The limit that a request exceeds, and the time until this VM would admit the next one. */
data class LimitRefusal(
    val reason: String,
    val retryAfter: Duration,
)
