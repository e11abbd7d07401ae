package io.tarragonport.core.gateway.balance

import io.tarragonport.api.gateway.PromptShape
import io.tarragonport.api.id.FailureDomainId
import kotlin.time.ComparableTimeMark
import kotlin.time.DurationUnit

/**
 * Chooses the backend server for a request.
 *
 * A model engine's score is the expected time in milliseconds to the first event: unread prompts before this one, the
 * part of its own prompt that the engine has not read, and what running requests cost. All VMs rank engines alike for a
 * shared prompt part, so each part is read by one engine as long as that engine is not busy; another engine fetches it
 * from there ([PromptHolders]). Short and long prompts prefer different engines ([EngineGroups]). A plain server's score
 * is its expected time for the requests that it has.
 */
class ServerSelector(
    private val serverTable: ServerTable,
    private val domain: FailureDomainId,
) {
    /** The best server for [request] at [now] that [usable] accepts, or null. */
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
            val crossing =
                when {
                    forShort.isEmpty() || inGroup(state) -> 0.0
                    request.shortPrompt -> SHORT_CROSSING_MS
                    else -> LONG_CROSSING_MS
                }
            engineScore(state, prompt, now, knownPrompt(state, request, prompt, preferred, holder), crossing)
        }
    }

    /** What [state] need not read of [prompt], where it gets that from, and what it costs. */
    private fun knownPrompt(
        state: TrackedServer,
        request: SelectionRequest,
        prompt: PromptShape,
        preferred: TrackedServer?,
        holder: TrackedServer?,
    ): KnownPrompt {
        val shared = prompt.sharedParts.sumOf { it.tokens }
        val sentBefore = state.cache.knownTokens(prompt.sharedParts)
        val elsewhere = request.latencyObjective.toDouble(DurationUnit.MILLISECONDS) * OTHER_ENGINE_SHARE
        val fetches = holder != null && holder !== state && shared - sentBefore >= LEAST_FETCHED_TOKENS
        return when {
            state === preferred -> KnownPrompt(shared, holder.takeIf { fetches }, 0.0)
            state === holder -> KnownPrompt(shared, null, elsewhere)
            fetches -> KnownPrompt(shared, holder, elsewhere + FETCH_MS)
            else -> KnownPrompt(sentBefore, null, 0.0)
        }
    }

    private fun engineScore(
        state: TrackedServer,
        prompt: PromptShape,
        now: ComparableTimeMark,
        known: KnownPrompt,
        crossing: Double,
    ): ServerChoice {
        val toRead = (prompt.promptTokens - known.tokens).coerceAtLeast(0)
        val reading = (state.allUnreadTokens + toRead) / TOKENS_READ_PER_MS
        val running = state.allInFlight * RUNNING_COST_MS + queued(state) * QUEUED_COST_MS
        val distance = if (state.registered.domain == domain) 0.0 else OTHER_DOMAIN_MS
        val time = reading + running + distance + crossing + known.costMs
        return ServerChoice(state, time * state.health.penalty(now), toRead, 0, known.fetchFrom)
    }

    /** Requests that found no place in the engine's batch, this one included. */
    private fun queued(state: TrackedServer): Int =
        (state.allInFlight + 1 - state.registered.slots.coerceAtLeast(1)).coerceAtLeast(0)

    private fun plainScore(
        state: TrackedServer,
        now: ComparableTimeMark,
    ): ServerChoice {
        val turns = (state.allInFlight + 1.0) / state.registered.slots.coerceAtLeast(1)
        val distance = if (state.registered.domain == domain) 0.0 else OTHER_DOMAIN_MS
        val time = state.health.answerTime.toDouble(DurationUnit.MILLISECONDS) * (1 + turns)
        return ServerChoice(state, (time + distance) * state.health.penalty(now), 0, 0)
    }

    /** Tokens that an engine need not read, where it fetches them from if it does, and the time to add for that. */
    private class KnownPrompt(
        val tokens: Int,
        val fetchFrom: TrackedServer?,
        val costMs: Double,
    )

    private companion object {
        /** Prompt tokens that an engine reads in a millisecond, from the deployments' sheets (48 to 57). */
        const val TOKENS_READ_PER_MS = 50.0

        /** What one running request adds to five steps of the batch (0.09 ms a step), which a long prompt waits for. */
        const val RUNNING_COST_MS = 0.5

        /** A place in a full batch of 64 becomes free every 20 to 40 ms, when streams last one to two seconds. */
        const val QUEUED_COST_MS = 30.0

        /** Network time to another failure domain and back, and a share of the price of the bytes. */
        const val OTHER_DOMAIN_MS = 3.0

        /**
         * Part of the latency objective that a request rather waits than go to another engine than the preferred one: the
         * copy that it needs there takes the room of another prompt.
         */
        const val OTHER_ENGINE_SHARE = 0.12

        /** Transfer of 13,000 tokens over the engines' links, with a wait for another transfer. */
        const val FETCH_MS = 20.0

        /** Reading so many tokens takes twice as long as fetching them. */
        const val LEAST_FETCHED_TOKENS = 2_000

        /** A short prompt goes among long ones rather than wait longer than three chunks of reading (72 ms each). */
        const val SHORT_CROSSING_MS = 250.0

        /** A long prompt among short ones delays a dozen streams; it waits for most of its latency objective first. */
        const val LONG_CROSSING_MS = 1_500.0
    }
}
