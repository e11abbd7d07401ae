package io.tarragonport.daemon.store

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Random faults and latencies from a seeded [random]: while [active], the given [share] of calls fails. */
class RandomFaults(
    private val random: Random,
    private val share: Double,
) {
    var active = true

    fun faultOf(): Fault? = if (active && random.nextDouble() < share) Fault.entries.random(random) else null

    fun delayOf(fault: Fault?): Duration =
        when (fault) {
            null -> random.nextInt(1, if (active && random.nextInt(20) == 0) 1500 else 20).milliseconds
            else -> random.nextInt(1, 8000).milliseconds
        }
}
