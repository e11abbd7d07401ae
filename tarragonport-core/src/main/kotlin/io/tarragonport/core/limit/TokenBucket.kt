package io.tarragonport.core.limit

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/**
 * A token bucket that is refilled at [ratePerSecond], with a capacity of [BURST] at this rate but at least one unit.
 *
 * A request is admitted while the bucket contains at least one unit, and may take more than there is. The level then
 * becomes negative and delays later requests, so that large requests are admitted and the rate is still kept over a
 * minute.
 */
class TokenBucket(
    timeSource: TimeSource,
) {
    private val start = timeSource.markNow()
    private var refilledAt: Duration = Duration.ZERO
    private var level = 1.0

    var ratePerSecond = 0.0
        private set

    private val capacity: Double get() = maxOf(1.0, ratePerSecond * BURST.toDouble(DurationUnit.SECONDS))

    /** Changes the rate from now on. */
    fun setRate(perSecond: Double) {
        refill()
        ratePerSecond = perSecond
        level = minOf(level, capacity)
    }

    /** True if one more request is admitted now. */
    fun admits(): Boolean {
        refill()
        return level > 1.0 - ROUNDING
    }

    /** Takes [amount]; a negative amount is returned to the bucket. */
    fun take(amount: Double) {
        refill()
        level = minOf(level - amount, capacity)
    }

    /** Time until the next request is admitted at the current rate. */
    fun untilAdmission(): Duration {
        refill()
        val missing = maxOf(0.0, 1.0 - level)
        return if (ratePerSecond > 0) (missing / ratePerSecond).seconds else Duration.INFINITE
    }

    private fun refill() {
        val now = start.elapsedNow()
        val elapsed = (now - refilledAt).toDouble(DurationUnit.SECONDS)
        level = minOf(capacity, level + ratePerSecond * elapsed)
        refilledAt = now
    }

    companion object {
        /** One second at the rate: full buckets exceed the limit of a minute by at most a sixtieth. */
        val BURST: Duration = 1.seconds

        private const val ROUNDING = 1e-9
    }
}
