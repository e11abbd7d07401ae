package io.tarragonport.core.estimate

/**
 * Expected output length in tokens: the median [p50], the upper quantile [p90], and the length [planned] that deadline
 * checks use. [planned] is the mean of the two quantiles, reduced as the estimator's past errors grow, so that wrong
 * estimates cause fewer refusals, not more.
 */
data class LengthEstimate(
    val p50: Int,
    val p90: Int,
    val planned: Int,
    val level: EstimateLevel,
)
