package io.tarragonport.core.gateway.balance

import io.tarragonport.api.gateway.PromptShape
import kotlin.time.DurationUnit

/**
 * What each engine would have to do for one prompt: process it, or fetch its shared parts from the engine [holder].
 *
 * [preferred] is the engine on which all VMs process the shared parts. [grouped] tells whether some engines are
 * reserved for short prompts, and [longGroupPenaltyMs] is the penalty for a long prompt on one of them. Nothing is allocated for each engine, because all of them are compared for each request.
 */
internal class PromptPlan(
    private val prompt: PromptShape,
    private val request: SelectionRequest,
    private val preferred: TrackedServer?,
    private val holder: TrackedServer?,
    private val grouped: Boolean,
    private val longGroupPenaltyMs: Double = LONG_GROUP_PENALTY_MS,
) {
    private val sharedTokens = prompt.sharedParts.sumOf { it.tokens }
    private val otherEnginePenaltyMs =
        request.latencyObjective.toDouble(DurationUnit.MILLISECONDS) * OTHER_ENGINE_PENALTY_SHARE

    /** Prompt tokens that [server] has to process, those that it neither has cached nor fetches. */
    fun tokensToProcess(server: TrackedServer): Int = (prompt.promptTokens - availableTokens(server)).coerceAtLeast(0)

    /** The engine from which [server] is to fetch the shared parts, null if it need not fetch any. */
    fun fetchFrom(server: TrackedServer): TrackedServer? = holder.takeIf { server !== holder && shouldFetch(server) }

    /** Penalty in milliseconds for using [server] rather than the preferred engine or its group. */
    fun penaltyMs(server: TrackedServer): Double = groupPenaltyMs(server) + cachePenaltyMs(server)

    private fun availableTokens(server: TrackedServer): Int =
        if (server === preferred || server === holder || shouldFetch(server)) sharedTokens else cachedTokens(server)

    private fun cachePenaltyMs(server: TrackedServer): Double =
        when {
            server === preferred -> 0.0
            server === holder -> otherEnginePenaltyMs
            shouldFetch(server) -> otherEnginePenaltyMs + FETCH_MS
            else -> 0.0
        }

    private fun groupPenaltyMs(server: TrackedServer): Double =
        when {
            !grouped || server.forShortPrompts == request.shortPrompt -> 0.0
            request.shortPrompt -> SHORT_GROUP_PENALTY_MS
            else -> longGroupPenaltyMs
        }

    private fun shouldFetch(server: TrackedServer): Boolean =
        holder != null && holder !== server && sharedTokens - cachedTokens(server) >= MIN_FETCHED_TOKENS

    private fun cachedTokens(server: TrackedServer): Int = server.cache.cachedTokens(prompt.sharedParts)

    companion object {
        /**
         * Share of the latency objective for which a request waits rather than use an engine other than the preferred
         * one, because the copy of the prompt there displaces another prompt from the cache.
         */
        private const val OTHER_ENGINE_PENALTY_SHARE = 0.12

        /** Transfer of 13,000 tokens between engines, including the wait for a concurrent transfer. */
        private const val FETCH_MS = 20.0

        /** Processing this many tokens takes twice as long as fetching them. */
        const val MIN_FETCHED_TOKENS = 2_000

        /** A short prompt moves to the long group rather than wait for more than three prompt chunks (72 ms each). */
        private const val SHORT_GROUP_PENALTY_MS = 250.0

        /** A long prompt in the short group delays a dozen streams, so it waits for most of its latency objective. */
        const val LONG_GROUP_PENALTY_MS = 1_500.0
    }
}
