package io.tarragonport.daemon.intent

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * Determines how long a settlement waits for a claim that can share its write.
 *
 * At low claim rates waiting only adds latency: at 10 claims per second over 64 buckets, a request still took 2.0
 * writes with a wait of 250 ms. A settlement therefore waits [long] only if the last two claims arrived within that
 * time, else [short].
 */
internal class SettlementDelay(
    private val timeSource: TimeSource.WithComparableMarks,
    private val short: Duration,
    private val long: Duration,
) {
    private var lastClaim: ComparableTimeMark? = null
    private var lastInterval = Duration.INFINITE

    /** Records that a claim arrived now. */
    fun recordClaim() {
        val now = timeSource.markNow()
        lastInterval = lastClaim?.let { now - it } ?: Duration.INFINITE
        lastClaim = now
    }

    /** Delay for the settlements that are pending now. */
    fun current(): Duration {
        val sinceLast = lastClaim?.elapsedNow() ?: Duration.INFINITE
        return if (lastInterval <= long && sinceLast <= long) long else short
    }
}
