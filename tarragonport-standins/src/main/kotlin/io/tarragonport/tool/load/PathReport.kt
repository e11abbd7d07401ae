package io.tarragonport.tool.load

import kotlinx.serialization.Serializable

/**
 * Measurements of one path. Times are in milliseconds; `whole` is the time until the response was complete. [wrong] is
 * the number of requests without a complete and correct response.
 */
@Serializable
data class PathReport(
    val requests: Int,
    val wrong: Int,
    val firstTokenP50: Double,
    val firstTokenP99: Double,
    val firstTokenMaximum: Double,
    val wholeP50: Double,
    val wholeP99: Double,
) {
    companion object {
        private const val MICROSECONDS_PER_MS = 1_000.0
        private const val MEDIAN = 50.0
        private const val PERCENTILE_99 = 99.0

        fun of(path: LoadPath): PathReport =
            PathReport(
                requests = path.correct.get() + path.wrong.get(),
                wrong = path.wrong.get(),
                firstTokenP50 = path.firstToken.getValueAtPercentile(MEDIAN) / MICROSECONDS_PER_MS,
                firstTokenP99 = path.firstToken.getValueAtPercentile(PERCENTILE_99) / MICROSECONDS_PER_MS,
                firstTokenMaximum = path.firstToken.maxValue / MICROSECONDS_PER_MS,
                wholeP50 = path.fullResponse.getValueAtPercentile(MEDIAN) / MICROSECONDS_PER_MS,
                wholeP99 = path.fullResponse.getValueAtPercentile(PERCENTILE_99) / MICROSECONDS_PER_MS,
            )
    }
}
