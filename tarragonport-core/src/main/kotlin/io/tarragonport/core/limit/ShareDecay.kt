package io.tarragonport.core.limit

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The share of a VM that receives nothing from its aggregator: unchanged for [GRACE], then decaying linearly to the
 * equal share within [DECAY_TIME]. The aggregator computes the same for a VM that does not report, so that both use the
 * same value.
 */
object ShareDecay {
    /** Silence after which a share starts to decay. */
    val GRACE: Duration = 3.seconds

    /**
     * Time from the end of [GRACE] until the equal share, about as long as the replacement of a dead aggregator takes.
     */
    val DECAY_TIME: Duration = 5.seconds

    /** Share after [silence], between [granted] and [fallback]. */
    fun share(
        granted: Double,
        fallback: Double,
        silence: Duration,
    ): Double {
        val progress = ((silence - GRACE) / DECAY_TIME).coerceIn(0.0, 1.0)
        return granted + (fallback - granted) * progress
    }
}
