package io.tarragonport.daemon.store

import kotlin.random.Random
import kotlin.time.Duration

/** Exponential backoff with jitter: the delay doubles from [first] up to [last], each wait is 50% to 100% of it. */
internal class RetryDelay(
    private val first: Duration,
    private val last: Duration,
    private val random: Random,
) {
    private var current = first

    /** Returns the next wait and doubles the delay for the one after it. */
    fun next(): Duration {
        val wait = current * (MINIMUM_FRACTION + random.nextDouble() * (1 - MINIMUM_FRACTION))
        current = minOf(current * 2, last)
        return wait
    }

    /** Resets the delay to [first] after a successful call. */
    fun reset() {
        current = first
    }

    private companion object {
        const val MINIMUM_FRACTION = 0.5
    }
}
