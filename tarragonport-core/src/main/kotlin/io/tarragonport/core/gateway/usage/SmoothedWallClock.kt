package io.tarragonport.core.gateway.usage

import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlin.time.TimeSource

/**
 * The time of day without its steps.
 *
 * The machine's time of day can jump by seconds and jump back. This clock follows the steady clock from an anchor and
 * takes small corrections over; a step is taken over only after it has lasted for [LASTING].
 */
class SmoothedWallClock(
    private val wall: Clock,
    private val steady: TimeSource.WithComparableMarks,
) : Clock {
    private val start = steady.markNow()
    private var offset = wall.now()
    private var steppedAt: Duration? = null

    @Synchronized
    override fun now(): Instant {
        val elapsed = start.elapsedNow()
        val seen = wall.now() - elapsed
        val step = (seen - offset).absoluteValue
        val since = steppedAt
        when {
            step < SMALL -> {
                offset = seen
                steppedAt = null
            }

            since == null -> {
                steppedAt = elapsed
            }

            elapsed - since >= LASTING -> {
                offset = seen
                steppedAt = null
            }
        }
        return offset + elapsed
    }

    private companion object {
        /** Ordinary corrections of a machine's clock are smaller. */
        val SMALL: Duration = 200.milliseconds

        /** Steps that are errors are corrected within seconds. */
        val LASTING: Duration = 30.seconds
    }
}
