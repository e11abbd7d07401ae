package io.tarragonport.core.limit

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The share of a VM that does not hear from its aggregator: kept for [GRACE], then linear to an equal share within
 * [FALL]. The aggregator computes the same for a VM that is silent, so that both agree on what is in use.
 */
object ShareDecay {
    /** Silence after which a share is no longer certain. */
    val GRACE: Duration = 3.seconds

    /** Time from the end of [GRACE] until the equal share; ends about when a dead aggregator has been replaced. */
    val FALL: Duration = 5.seconds

    /** Share after [silence], between [granted] and [fallback]. */
    fun share(
        granted: Double,
        fallback: Double,
        silence: Duration,
    ): Double {
        val progress = ((silence - GRACE) / FALL).coerceIn(0.0, 1.0)
        return granted + (fallback - granted) * progress
    }
}
