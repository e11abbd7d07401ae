package io.tarragonport.core.estimate

import kotlin.math.ln
import kotlin.math.pow

/** Online quantiles of token counts: geometric buckets whose weights are halved regularly so that old samples decay. */
internal class DecayingHistogram {
    private val counts = FloatArray(BUCKETS)

    /** Number of samples, weighted by age. */
    var weight: Double = 0.0
        private set

    fun record(tokens: Int) {
        counts[bucket(tokens)] += 1f
        weight += 1.0
        if (weight > HALVING_WEIGHT) halve()
    }

    /** The value below which [share] of the weight lies, within 12%; zero without samples. */
    fun quantile(share: Double): Int {
        var remaining = weight * share
        for (bucket in counts.indices) {
            remaining -= counts[bucket]
            if (remaining <= 0.0 && weight > 0.0) return middle(bucket)
        }
        return 0
    }

    private fun halve() {
        for (bucket in counts.indices) counts[bucket] /= 2f
        weight /= 2.0
    }

    private fun bucket(tokens: Int): Int =
        (ln(tokens.coerceAtLeast(0) + 1.0) / LN_RATIO).toInt().coerceAtMost(
            BUCKETS - 1,
        )

    private fun middle(bucket: Int): Int = (RATIO.pow(bucket + HALF) - 1.0).toInt().coerceAtLeast(1)

    private companion object {
        const val RATIO = 1.25
        const val HALF = 0.5

        /** Reaches 1.25^56 = 267,000 tokens, beyond any context window in use. */
        const val BUCKETS = 56

        /** All weights are halved when their sum reaches this value, so that the last few hundred samples dominate. */
        const val HALVING_WEIGHT = 400.0
        val LN_RATIO = ln(RATIO)
    }
}
