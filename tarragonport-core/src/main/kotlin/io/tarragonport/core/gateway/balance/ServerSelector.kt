package io.tarragonport.core.gateway.balance

import io.tarragonport.api.gateway.PromptShape
import io.tarragonport.api.id.FailureDomainId
import kotlin.time.ComparableTimeMark
import kotlin.time.DurationUnit

/**
 * Selects the backend server for a request: the candidate with the lowest score.
 *
 * A model engine's score is the expected time in milliseconds to the first event: the unprocessed prompts ahead of this
 * request, the uncached part of its own prompt, and the cost of running requests. All VMs rank engines identically for
 * a shared prompt part, so each part is processed by one engine unless that engine is busy; another engine fetches it
 * from there ([PromptHolders]). Short and long prompts prefer different engines ([EngineGroups]). A plain server's
 * score is its expected response time at its current load.
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
        val prompt = request.prompt?.takeIf { serverTable.engine(request.service) != null }
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
        val forShort = serverTable.shortPromptEngines(request.service)
        val inGroup = { state: TrackedServer -> (state.registered.id in forShort) == request.shortPrompt }
        val preferred = PromptRank.first(prompt, candidates.filter(inGroup).ifEmpty { candidates })
        val holder = PromptHolders(serverTable.servers(request.service).filter(inGroup), now).holder(prompt)
        return candidates.map { state ->
            val groupPenalty =
                when {
                    forShort.isEmpty() || inGroup(state) -> 0.0
                    request.shortPrompt -> SHORT_GROUP_PENALTY_MS
                    else -> LONG_GROUP_PENALTY_MS
                }
            engineScore(state, prompt, now, cachedPrompt(state, request, prompt, preferred, holder), groupPenalty)
        }
    }

    /** The part of [prompt] that [state] has cached or can fetch, the engine to fetch from, and the cost. */
    private fun cachedPrompt(
        state: TrackedServer,
        request: SelectionRequest,
        prompt: PromptShape,
        preferred: TrackedServer?,
        holder: TrackedServer?,
    ): CachedPrompt {
        val shared = prompt.sharedParts.sumOf { it.tokens }
        val sentBefore = state.cache.cachedTokens(prompt.sharedParts)
        val otherEnginePenalty =
            request.latencyObjective.toDouble(DurationUnit.MILLISECONDS) * OTHER_ENGINE_PENALTY_SHARE
        val fetches = holder != null && holder !== state && shared - sentBefore >= MIN_FETCHED_TOKENS
        return when {
            state === preferred -> CachedPrompt(shared, holder.takeIf { fetches }, 0.0)
            state === holder -> CachedPrompt(shared, null, otherEnginePenalty)
            fetches -> CachedPrompt(shared, holder, otherEnginePenalty + FETCH_MS)
            else -> CachedPrompt(sentBefore, null, 0.0)
        }
    }

    private fun engineScore(
        state: TrackedServer,
        prompt: PromptShape,
        now: ComparableTimeMark,
        cached: CachedPrompt,
        groupPenalty: Double,
    ): ServerChoice {
        val toRead = (prompt.promptTokens - cached.tokens).coerceAtLeast(0)
        val reading = (state.allUnreadTokens + toRead) / TOKENS_READ_PER_MS
        val running = state.allInFlight * RUNNING_COST_MS + queued(state) * QUEUED_COST_MS
        val domainPenalty = if (state.registered.domain == domain) 0.0 else CROSS_DOMAIN_MS
        val time = reading + running + domainPenalty + groupPenalty + cached.costMs
        return ServerChoice(state, time * state.health.penalty(now), toRead, 0, cached.fetchFrom)
    }

    /** Requests that exceed the slots of the engine's batch, including this one. */
    private fun queued(state: TrackedServer): Int =
        (state.allInFlight + 1 - state.registered.slots.coerceAtLeast(1)).coerceAtLeast(0)

    private fun plainScore(
        state: TrackedServer,
        now: ComparableTimeMark,
    ): ServerChoice {
        val turns = (state.allInFlight + 1.0) / state.registered.slots.coerceAtLeast(1)
        val domainPenalty = if (state.registered.domain == domain) 0.0 else CROSS_DOMAIN_MS
        val time = state.health.responseTime.toDouble(DurationUnit.MILLISECONDS) * (1 + turns)
        return ServerChoice(state, (time + domainPenalty) * state.health.penalty(now), 0, 0)
    }

    /** Prompt tokens that an engine need not process, the engine to fetch them from if any, and the time this adds. */
    private class CachedPrompt(
        val tokens: Int,
        val fetchFrom: TrackedServer?,
        val costMs: Double,
    )

    private companion object {
        /** Prompt tokens that an engine processes in a millisecond (48 to 57 in the deployment data). */
        const val TOKENS_READ_PER_MS = 50.0

        /** Added by one running request to five batch steps (0.09 ms per step), for which a long prompt waits. */
        const val RUNNING_COST_MS = 0.5

        /** A slot in a full batch of 64 becomes free every 20 to 40 ms when streams last one to two seconds. */
        const val QUEUED_COST_MS = 30.0

        /** Network round trip to another failure domain, plus an allowance for the price of the traffic. */
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

        /** A long prompt in the short group delays a dozen streams, so it waits for most of its objective first. */
        const val LONG_GROUP_PENALTY_MS = 1_500.0
    }
}
