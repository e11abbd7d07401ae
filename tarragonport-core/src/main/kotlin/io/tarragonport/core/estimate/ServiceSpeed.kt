package io.tarragonport.core.estimate

import kotlin.math.abs

/** Response speed of the servers of one pool in milliseconds, estimated from observed tokens. */
class ServiceSpeed {
    /** Average time between two tokens of a stream. */
    var betweenTokensMs: Double = INITIAL_BETWEEN_TOKENS_MS
        private set

    /** Time per prompt token that is not in the cache; an underestimate, so that deadline checks refuse too few. */
    var prefillMsPerToken: Double = INITIAL_PREFILL_MS
        private set

    private var firstTokenMeanMs = INITIAL_FIRST_TOKEN_MS
    private var firstTokenDeviationMs = 0.0

    /** Average time from start to first token of short requests plus one mean deviation. */
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

    fun firstTokenObserved(
        waitMs: Double,
        promptTokens: Int,
    ) {
        if (promptTokens < MINIMUM_PROMPT) return
        val sample = waitMs / promptTokens
        prefillMsPerToken =
            sample.coerceAtMost(prefillMsPerToken * MAXIMUM_RISE_FACTOR).coerceAtLeast(MINIMUM_PREFILL_MS)
    }

    /** Time from start to last token for [uncachedPrompt] and [output] tokens, without queueing. */
    fun serviceMs(
        uncachedPrompt: Int,
        output: Int,
    ): Double = uncachedPrompt * prefillMsPerToken + output * betweenTokensMs

    private companion object {
        const val INITIAL_BETWEEN_TOKENS_MS = 20.0
        const val INITIAL_PREFILL_MS = 0.05
        const val MINIMUM_PREFILL_MS = 0.005
        const val SMOOTHING = 0.002
        const val INITIAL_FIRST_TOKEN_MS = 100.0

        /** Adapts to a change within a few dozen requests. */
        const val FIRST_TOKEN_SMOOTHING = 0.05

        /**
         * For shorter prompts the time to the first token depends on the wait for an engine step, not on the prefill.
         */
        const val MINIMUM_PROMPT = 200

        /** Lets the underestimate rise again when servers become slower, by at most 1% per sample. */
        const val MAXIMUM_RISE_FACTOR = 1.01
    }
}
