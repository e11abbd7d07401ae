package io.tarragonport.platform

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Timeouts of calls to the platform.
 *
 * [connect] covers opening a connection, [call] a whole call. [order] is the maximum time that an order to the backend
 * server interface can be in flight; a lease holder sends an order only if its lease remains valid for at least this
 * long. [watchMargin] is added to the wait that a watch requests, so that the response arrives before the timeout.
 */
data class PlatformTimeouts(
    val connect: Duration = 500.milliseconds,
    val call: Duration = 2.seconds,
    val order: Duration = 3.seconds,
    val watchMargin: Duration = 2.seconds,
)
