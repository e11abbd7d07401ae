package io.tarragonport.daemon.store

import kotlinx.coroutines.test.TestCoroutineScheduler
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** A wall clock that follows the virtual time of [scheduler] with an offset of [skew]. */
class VirtualWallClock(
    private val scheduler: TestCoroutineScheduler,
    private val skew: Duration = Duration.ZERO,
) : Clock {
    override fun now(): Instant = START + scheduler.currentTime.milliseconds + skew

    companion object {
        /** Start of a usage window. */
        val START = Instant.fromEpochSeconds(1_800_000_000)
    }
}
