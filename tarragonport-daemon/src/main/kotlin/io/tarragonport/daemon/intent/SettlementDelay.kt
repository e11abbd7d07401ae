package io.tarragonport.daemon.intent

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * Determines how long a settlement waits for a claim that can share its write.
 *
 * At low claim rates waiting only adds latency: at 10 claims per second over 64 buckets, a wait of 250 ms still took
 * 2.0 writes per request. A settlement therefore waits [long] only if the last two claims arrived within that time,
 * else [short].
 */
internal class SettlementDelay(
    private val timeSource: TimeSource.WithComparableMarks,
    private val short: Duration,
    private val long: Duration,
) {
    private var last: ComparableTimeMark? = null
    private var interval = Duration.INFINITE

    /** Records that a claim arrived now. */
    fun recordClaim() {
        val now = timeSource.markNow()
        interval = last?.let { now - it } ?: Duration.INFINITE
        last = now
    }

    /** Delay for the settlements that are pending now. */
    fun current(): Duration {
        val sinceLast = last?.elapsedNow() ?: Duration.INFINITE
        return if (interval <= long && sinceLast <= long) long else short
    }
}
