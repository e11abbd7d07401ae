package io.tarragonport.daemon.usage

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Intervals and timeouts of the usage loops. */
data class UsageSettings(
    /** Interval at which changed counts are flushed. */
    val flushInterval: Duration = 2.seconds,
    /** Time from the end of a window until it is closed; longer than [flushInterval]. */
    val closeDelay: Duration = 5.seconds,
    /** Interval at which the holder of a shard checks for due work. */
    val stepInterval: Duration = 1.seconds,
    /** An object store call without a response within this time counts as failed. */
    val callTimeout: Duration = 2.seconds,
    /** A usage report without a response within this time counts as failed. */
    val reportTimeout: Duration = 3.seconds,
    /** Interval at which objects are pruned. */
    val pruneInterval: Duration = 10.minutes,
    /** Time for which closed windows are kept. */
    val closedRetention: Duration = 24.hours,
)
