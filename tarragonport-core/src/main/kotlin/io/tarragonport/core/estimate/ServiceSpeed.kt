package io.tarragonport.core.estimate

import kotlin.math.abs

/** Response times of the servers of one pool in milliseconds, estimated from observed tokens. */
class ServiceSpeed {
    /** Average time between two tokens of a stream. */
    var betweenTokensMs: Double = INITIAL_BETWEEN_TOKENS_MS
        private set

    /**
     * Time per prompt token that is not in the cache; an underestimate, so that deadline checks do not refuse too many.
     */
    var prefillMsPerToken: Double = INITIAL_PREFILL_MS
        private set

    private var firstTokenMeanMs = INITIAL_FIRST_TOKEN_MS
    private var firstTokenDeviationMs = 0.0

    /** Moving average of the time from start to first token of short requests, plus the mean deviation. */
    val firstTokenWaitMs: Double
        get() = firstTokenMeanMs + firstTokenDeviationMs

    /** Records that the first token of a short request arrived [waitMs] after its start. */
    fun shortFirstTokenObserved(waitMs: Double) {
        firstTokenDeviationMs += (abs(waitMs - firstTokenMeanMs) - firstTokenDeviationMs) * FIRST_TOKEN_SMOOTHING
        firstTokenMeanMs += (waitMs - firstTokenMeanMs) * FIRST_TOKEN_SMOOTHING
    }

    fun tokenObserved(gapMs: Double) {
        betweenTokensMs += (gapMs - betweenTokensMs) * SMOOTHING
    }

    /**
     * Records that the first token after a prompt of [uncachedTokens] uncached tokens arrived [waitMs] after its start.
     */
    fun prefillObserved(
        waitMs: Double,
        uncachedTokens: Int,
    ) {
        if (uncachedTokens < MINIMUM_PROMPT_TOKENS) return
        val sample = waitMs / uncachedTokens
        prefillMsPerToken =
            sample.coerceAtMost(prefillMsPerToken * MAXIMUM_RISE_FACTOR).coerceAtLeast(MINIMUM_PREFILL_MS)
    }

    /** Time from start to last token for [uncachedTokens] and [outputTokens] tokens, without queueing. */
    fun serviceMs(
        uncachedTokens: Int,
        outputTokens: Int,
    ): Double = uncachedTokens * prefillMsPerToken + outputTokens * betweenTokensMs

    private companion object {
        const val INITIAL_BETWEEN_TOKENS_MS = 20.0
        const val INITIAL_PREFILL_MS = 0.05
        const val MINIMUM_PREFILL_MS = 0.005
        const val SMOOTHING = 0.002
        const val INITIAL_FIRST_TOKEN_MS = 100.0

        /** Adapts to a change within a few dozen requests. */
        const val FIRST_TOKEN_SMOOTHING = 0.05

        /**
         * Shorter prompts are not used as samples, because their time to the first token depends on the wait for an
         * engine step, not on the prefill.
         */
        const val MINIMUM_PROMPT_TOKENS = 200

        /** Lets the underestimate rise again when servers become slower, by at most 1% per sample. */
        const val MAXIMUM_RISE_FACTOR = 1.01
    }
}
