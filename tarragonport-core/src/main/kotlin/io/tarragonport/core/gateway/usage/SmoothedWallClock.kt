package io.tarragonport.core.gateway.usage

import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlin.time.TimeSource

/**
 * Wall clock that ignores short steps of the system clock.
 *
 * The system clock can jump by seconds and back again. This clock advances with the monotonic clock and applies small
 * corrections immediately; it applies a step only after it has persisted for [STEP_CONFIRMATION_TIME].
 */
class SmoothedWallClock(
    private val wall: Clock,
    private val monotonic: TimeSource.WithComparableMarks,
) : Clock {
    private val start = monotonic.markNow()
    private var offset = wall.now()
    private var steppedAt: Duration? = null

    @Synchronized
    override fun now(): Instant {
        val elapsed = start.elapsedNow()
        val observed = wall.now() - elapsed
        val step = (observed - offset).absoluteValue
        val stepStart = steppedAt
        when {
            step < MAX_CORRECTION -> {
                offset = observed
                steppedAt = null
            }

            stepStart == null -> {
                steppedAt = elapsed
            }

            elapsed - stepStart >= STEP_CONFIRMATION_TIME -> {
                offset = observed
                steppedAt = null
            }
        }
        return offset + elapsed
    }

    private companion object {
        /** Regular corrections of the system clock are smaller. */
        val MAX_CORRECTION: Duration = 200.milliseconds

        /** Erroneous steps are corrected within seconds. */
        val STEP_CONFIRMATION_TIME: Duration = 30.seconds
    }
}
