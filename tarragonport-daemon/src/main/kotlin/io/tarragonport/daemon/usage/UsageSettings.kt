package io.tarragonport.daemon.usage

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Intervals and timeouts of the usage loops.
 *
 * Changed counts are flushed every [flushInterval]. A window is closed [closeDelay] after its end, which is longer than
 * the flush interval. The holder checks for due work every [stepInterval]. Calls without a response within
 * [callTimeout] (object API) or [reportTimeout] (usage reports) count as failed. Objects are pruned every
 * [pruneInterval]; closed windows are kept for [closedRetention].
 */
data class UsageSettings(
    val flushInterval: Duration = 2.seconds,
    val closeDelay: Duration = 5.seconds,
    val stepInterval: Duration = 1.seconds,
    val callTimeout: Duration = 2.seconds,
    val reportTimeout: Duration = 3.seconds,
    val pruneInterval: Duration = 10.minutes,
    val closedRetention: Duration = 24.hours,
)
