package io.tarragonport.daemon.store

import kotlin.random.Random
import kotlin.time.Duration

/**
 * Exponential backoff with jitter. The delay doubles from [initial] up to [maximum]; each wait is a random 50% to 100%
 * of the delay.
 */
internal class RetryDelay(
    private val initial: Duration,
    private val maximum: Duration,
    private val random: Random,
) {
    private var current = initial

    /** Returns the next wait and doubles the delay for the one after it. */
    fun next(): Duration {
        val wait = current * (MINIMUM_FRACTION + random.nextDouble() * (1 - MINIMUM_FRACTION))
        current = minOf(current * 2, maximum)
        return wait
    }

    /** Resets the delay to [initial] after a successful call. */
    fun reset() {
        current = initial
    }

    private companion object {
        const val MINIMUM_FRACTION = 0.5
    }
}
