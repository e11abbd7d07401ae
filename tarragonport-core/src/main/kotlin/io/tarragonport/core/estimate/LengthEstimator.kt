package io.tarragonport.core.estimate

import io.tarragonport.api.configuration.RequestClass
import io.tarragonport.api.id.RequestClassId
import io.tarragonport.core.admission.PendingRequest
import kotlin.math.ceil

/**
 * Estimates output lengths by class, organisation and octave (power of two) of the prompt length, with fallback to
 * coarser keys.
 *
 * Only complete responses are recorded. The median determines scheduling order; no invariant depends on it. [scale]
 * multiplies the lengths, so that the policy benchmark can make the estimates wrong.
 */
class LengthEstimator(
    private val scale: Double = 1.0,
) {
    private val histograms =
        object : LinkedHashMap<LengthKey, DecayingHistogram>(16, 0.75f, true) {
            override fun removeEldestEntry(eldest: Map.Entry<LengthKey, DecayingHistogram>) = size > MAXIMUM_KEYS
        }
    private var estimates = 0L
    private val errors = HashMap<RequestClassId, EstimateError>()

    fun estimate(request: PendingRequest): LengthEstimate {
        estimates++
        val learnedEstimate = learnedEstimate(request)
        val permissive = learnedEstimate.level == EstimateLevel.DEFAULT || estimates % PERMISSIVE_INTERVAL == 0L
        return if (permissive) learnedEstimate.copy(planned = 1) else learnedEstimate
    }

    private fun learnedEstimate(request: PendingRequest): LengthEstimate {
        keys(request).forEachIndexed { level, key ->
            val histogram = histograms[key]
            if (histogram != null && histogram.weight >= MINIMUM_SAMPLES) {
                return estimate(
                    request,
                    histogram.quantile(MEDIAN_QUANTILE),
                    histogram.quantile(UPPER_QUANTILE),
                    EstimateLevel.entries[level],
                )
            }
        }
        val default = defaultTokens(request.requestClass)
        return estimate(request, default, default * DEFAULT_SPREAD, EstimateLevel.DEFAULT)
    }

    /** Records a complete response of [tokens] tokens to [request], for which [estimate] was expected. */
    fun record(
        request: PendingRequest,
        estimate: LengthEstimate,
        tokens: Int,
    ) {
        errors.getOrPut(request.requestClass.id) { EstimateError() }.record(estimate.p50, tokens)
        keys(request).forEach { key -> histograms.getOrPut(key) { DecayingHistogram() }.record(tokens) }
    }

    /** Factor by which recent estimates for [requestClass] were wrong, at least one. */
    fun errorFactor(requestClass: RequestClassId): Double = (errors[requestClass] ?: INITIAL_ERROR).factor

    private fun estimate(
        request: PendingRequest,
        p50: Int,
        p90: Int,
        level: EstimateLevel,
    ): LengthEstimate {
        val median = (p50 * scale).toInt()
        val upper = (p90 * scale).toInt()
        val limit = request.maximumOutputTokens ?: Int.MAX_VALUE
        val excess = (errorFactor(request.requestClass.id) / TYPICAL_ERROR_FACTOR).coerceAtLeast(1.0)
        val planned = ceil((median + upper) / 2 / excess).toInt()
        return LengthEstimate(median.coerceAtMost(limit), upper.coerceAtMost(limit), planned.coerceAtMost(limit), level)
    }

    /** The keys of [request] from the finest to the coarsest, in the order of [EstimateLevel]. */
    private fun keys(request: PendingRequest): List<LengthKey> {
        val requestClass = request.requestClass.id
        val octave = Int.SIZE_BITS - request.promptTokens.coerceAtLeast(1).countLeadingZeroBits()
        return listOf(
            LengthKey(requestClass, request.organisation, octave),
            LengthKey(requestClass, null, octave),
            LengthKey(requestClass, null, null),
        )
    }

    private fun defaultTokens(requestClass: RequestClass): Int =
        if (requestClass.longOutput) DEFAULT_LONG_TOKENS else DEFAULT_SHORT_TOKENS

    private companion object {
        val INITIAL_ERROR = EstimateError()
        const val MEDIAN_QUANTILE = 0.5
        const val UPPER_QUANTILE = 0.9

        /** 56 buckets of 4 bytes and the map entry are about 350 bytes, so the table stays below 3 MB. */
        const val MAXIMUM_KEYS = 8_192

        /**
         * One estimate in this many is permissive: it plans a single output token, as do all estimates before the first
         * responses. Otherwise a class whose estimates exceed its deadline would be refused forever, because only
         * complete responses correct the estimates.
         */
        const val PERMISSIVE_INTERVAL = 16L

        /** With fewer samples than this, the median of the coarser key is more reliable. */
        const val MINIMUM_SAMPLES = 8.0
        const val DEFAULT_SHORT_TOKENS = 200
        const val DEFAULT_LONG_TOKENS = 1_000
        const val DEFAULT_SPREAD = 3

        /** Expected error of a correct median, which results from the spread of response lengths. */
        const val TYPICAL_ERROR_FACTOR = 2.0
    }
}
