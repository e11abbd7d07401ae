package io.tarragonport.tool.bench

import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram

/** Percentiles of a duration in milliseconds. */
@Serializable
data class Percentiles(
    val p50: Double,
    val p95: Double,
    val p99: Double,
) {
    companion object {
        private const val MICROS_PER_MS = 1_000.0

        /** Percentiles of [histogram], whose values are in microseconds. */
        fun of(histogram: Histogram) =
            Percentiles(
                histogram.getValueAtPercentile(50.0) / MICROS_PER_MS,
                histogram.getValueAtPercentile(95.0) / MICROS_PER_MS,
                histogram.getValueAtPercentile(99.0) / MICROS_PER_MS,
            )
    }
}
