package io.tarragonport.core.gateway.balance

import io.tarragonport.api.gateway.PromptShape
import io.tarragonport.api.id.FailureDomainId
import kotlin.time.ComparableTimeMark
import kotlin.time.DurationUnit

/**
 * Selects the backend server for a request: the candidate with the lowest score.
 *
 * A model engine's score is the expected time in milliseconds to the first event. It includes the unprocessed prompts
 * ahead of this request, the uncached part of its own prompt, and the cost of running requests. All VMs rank engines
 * identically for a shared prompt part, so only one engine processes that part unless it is busy. Other engines fetch
 * the part from it ([PromptHolders]). Short and long prompts prefer different engines ([EngineGroups]). The score of a
 * plain server, which is no model engine, is its expected response time at its current load.
 */
class ServerSelector(
    private val serverTable: ServerTable,
    private val domain: FailureDomainId,
) {
    /** The server with the lowest score for [request] at [now] among those that [usable] accepts, or null. */
    fun choose(
        request: SelectionRequest,
        now: ComparableTimeMark,
        usable: (TrackedServer) -> Boolean,
    ): ServerChoice? {
        val candidates = serverTable.servers(request.service).filter { it.open(now) && usable(it) }
        val prompt = request.prompt?.takeIf { serverTable.engineLimits(request.service) != null }
        val scored =
            if (prompt == null) {
                candidates.map { plainScore(it, now) }
            } else {
                engineScores(prompt, request, candidates, now)
            }
        return scored.minByOrNull { it.score }?.copy(candidates = candidates.size)
    }

    private fun engineScores(
        prompt: PromptShape,
        request: SelectionRequest,
        candidates: List<TrackedServer>,
        now: ComparableTimeMark,
    ): List<ServerChoice> {
        val shortPromptEngines = serverTable.shortPromptEngines(request.service)
        val inGroup = { server: TrackedServer -> (server.registered.id in shortPromptEngines) == request.shortPrompt }
        val preferred = PromptRank.first(prompt, candidates.filter(inGroup).ifEmpty { candidates })
        val holder = PromptHolders(serverTable.servers(request.service).filter(inGroup), now).holder(prompt)
        return candidates.map { server ->
            val groupPenaltyMs =
                when {
                    shortPromptEngines.isEmpty() || inGroup(server) -> 0.0
                    request.shortPrompt -> SHORT_GROUP_PENALTY_MS
                    else -> LONG_GROUP_PENALTY_MS
                }
            engineScore(server, prompt, now, cachedPrompt(server, request, prompt, preferred, holder), groupPenaltyMs)
        }
    }

    /**
     * What [server] has cached or can fetch of [prompt], and the penalty for using an engine that is not [preferred].
     */
    private fun cachedPrompt(
        server: TrackedServer,
        request: SelectionRequest,
        prompt: PromptShape,
        preferred: TrackedServer?,
        holder: TrackedServer?,
    ): CachedPrompt {
        val shared = prompt.sharedParts.sumOf { it.tokens }
        val alreadyCached = server.cache.cachedTokens(prompt.sharedParts)
        val otherEnginePenaltyMs =
            request.latencyObjective.toDouble(DurationUnit.MILLISECONDS) * OTHER_ENGINE_PENALTY_SHARE
        val shouldFetch = holder != null && holder !== server && shared - alreadyCached >= MIN_FETCHED_TOKENS
        return when {
            server === preferred -> CachedPrompt(shared, holder.takeIf { shouldFetch }, 0.0)
            server === holder -> CachedPrompt(shared, null, otherEnginePenaltyMs)
            shouldFetch -> CachedPrompt(shared, holder, otherEnginePenaltyMs + FETCH_MS)
            else -> CachedPrompt(alreadyCached, null, 0.0)
        }
    }

    private fun engineScore(
        server: TrackedServer,
        prompt: PromptShape,
        now: ComparableTimeMark,
        cached: CachedPrompt,
        groupPenaltyMs: Double,
    ): ServerChoice {
        val tokensToProcess = (prompt.promptTokens - cached.tokens).coerceAtLeast(0)
        val processingMs = (server.totalUnprocessedTokens + tokensToProcess) / TOKENS_PROCESSED_PER_MS
        val runningMs = server.totalInFlight * RUNNING_COST_MS + queued(server) * QUEUED_COST_MS
        val domainPenaltyMs = if (server.registered.domain == domain) 0.0 else CROSS_DOMAIN_MS
        val timeMs = processingMs + runningMs + domainPenaltyMs + groupPenaltyMs + cached.costMs
        return ServerChoice(server, timeMs * server.health.penalty(now), tokensToProcess, 0, cached.fetchFrom)
    }

    /** Requests that exceed the slots of the engine's batch, including this one. */
    private fun queued(server: TrackedServer): Int =
        (server.totalInFlight + 1 - server.registered.slots.coerceAtLeast(1)).coerceAtLeast(0)

    private fun plainScore(
        server: TrackedServer,
        now: ComparableTimeMark,
    ): ServerChoice {
        val relativeLoad = (server.totalInFlight + 1.0) / server.registered.slots.coerceAtLeast(1)
        val domainPenaltyMs = if (server.registered.domain == domain) 0.0 else CROSS_DOMAIN_MS
        val timeMs = server.health.responseTime.toDouble(DurationUnit.MILLISECONDS) * (1 + relativeLoad)
        return ServerChoice(server, (timeMs + domainPenaltyMs) * server.health.penalty(now), 0, 0)
    }

    /** Prompt tokens that an engine need not process, the engine to fetch them from if any, and the cost in score. */
    private class CachedPrompt(
        val tokens: Int,
        val fetchFrom: TrackedServer?,
        val costMs: Double,
    )

    private companion object {
        /** Prompt tokens that an engine processes in a millisecond (48 to 57 in the deployment data). */
        const val TOKENS_PROCESSED_PER_MS = 50.0

        /** A long prompt waits for five batch steps, and each running request lengthens a step by 0.09 ms. */
        const val RUNNING_COST_MS = 0.5

        /** A slot in a full batch of 64 becomes free every 20 to 40 ms when streams last one to two seconds. */
        const val QUEUED_COST_MS = 30.0

        /** Network round trip to another failure domain, and a surcharge for the price of the traffic. */
        const val CROSS_DOMAIN_MS = 3.0

        /**
         * Share of the latency objective for which a request waits rather than use an engine other than the preferred
         * one, because the copy of the prompt there displaces another prompt from the cache.
         */
        const val OTHER_ENGINE_PENALTY_SHARE = 0.12

        /** Transfer of 13,000 tokens between engines, including the wait for a concurrent transfer. */
        const val FETCH_MS = 20.0

        /** Processing this many tokens takes twice as long as fetching them. */
        const val MIN_FETCHED_TOKENS = 2_000

        /** A short prompt moves to the long group rather than wait for more than three prompt chunks (72 ms each). */
        const val SHORT_GROUP_PENALTY_MS = 250.0

        /** A long prompt in the short group delays a dozen streams, so it waits for most of its latency objective. */
        const val LONG_GROUP_PENALTY_MS = 1_500.0
    }
}
