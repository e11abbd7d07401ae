package io.tarragonport.platform.backend

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Timeouts of calls to backend servers.
 *
 * [connect] covers opening a connection, [idle] the time without a byte on an open stream, [call] a whole control call
 * (load, cache events, cancel, cache export and import), [order] a whole order, [service] a whole call of a plain
 * service.
 */
data class BackendTimeouts(
    val connect: Duration = 1.seconds,
    val idle: Duration = 30.seconds,
    val call: Duration = 2.seconds,
    val order: Duration = 3.seconds,
    val service: Duration = 60.seconds,
)
