package io.tarragonport.core.estimate

import kotlin.math.abs
import kotlin.math.log2
import kotlin.math.pow

/** Moving average of the error of estimates, as a factor of at least one. */
internal class EstimateError {
    /** Moving average of the absolute binary logarithm of actual divided by estimated. */
    private var octaves = INITIAL_OCTAVES

    val factor: Double
        get() = 2.0.pow(octaves)

    fun record(
        estimated: Int,
        actual: Int,
    ) {
        val error = abs(log2(actual.coerceAtLeast(1).toDouble() / estimated.coerceAtLeast(1)))
        octaves += (error - octaves) * SMOOTHING
    }

    private companion object {
        /** Before the first response an estimate may be wrong by a factor of four. */
        const val INITIAL_OCTAVES = 2.0

        /** Half of a change in the error is reflected after about 14 responses. */
        const val SMOOTHING = 0.05
    }
}
