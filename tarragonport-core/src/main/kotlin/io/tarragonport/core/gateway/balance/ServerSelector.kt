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
 *
 * In a fleet whose reports are late, only the engines ranked first for the prompt are compared, and a request whose
 * prompt would wait longer than it may is not sent yet.
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
        val servers = serverTable.servers(request.service)
        val candidates = servers.filter { it.open(now) && usable(it) }
        val prompt = request.prompt?.takeIf { serverTable.engineLimits(request.service) != null }
        return if (prompt == null) choosePlain(candidates, now) else chooseEngine(prompt, request, candidates, now)
    }

    private fun choosePlain(
        candidates: List<TrackedServer>,
        now: ComparableTimeMark,
    ): ServerChoice? {
        var best: TrackedServer? = null
        var bestScore = 0.0
        for (server in candidates) {
            val score = plainScore(server, now)
            if (best == null || score < bestScore) {
                best = server
                bestScore = score
            }
        }
        return best?.let { ServerChoice(it, bestScore, 0, candidates.size) }
    }

    private fun chooseEngine(
        prompt: PromptShape,
        request: SelectionRequest,
        candidates: List<TrackedServer>,
        now: ComparableTimeMark,
    ): ServerChoice? {
        val plan = plan(prompt, request, candidates, now)
        val rankingKey = PromptRank.rankingKey(prompt)
        val usable = usable(candidates, request)
        val best =
            if (rankingKey == null || !serverTable.fleet.reportsAreLate) {
                lowest(usable, plan, now)
            } else {
                widening(rankingKey, usable, request, plan, now)
            }
        if (best == null || exceedsWait(best, request)) return null
        val score = engineScore(best, plan, now)
        return ServerChoice(best, score, plan.tokensToProcess(best), candidates.size, plan.fetchFrom(best))
    }

    /**
     * The engines that are compared first for [request] if loads are reported late, and whose load is worth asking for;
     * empty if all engines are compared.
     */
    fun compared(
        request: SelectionRequest,
        now: ComparableTimeMark,
    ): List<TrackedServer> {
        val prompt = request.prompt?.takeIf { serverTable.engineLimits(request.service) != null }
        val key = prompt?.let(PromptRank::rankingKey)
        if (key == null || !serverTable.fleet.reportsAreLate) return emptyList()
        return PromptRank.top(key, serverTable.servers(request.service), FIRST_WIDTH) {
            it.forShortPrompts == request.shortPrompt && it.open(now)
        }
    }

    private fun plan(
        prompt: PromptShape,
        request: SelectionRequest,
        candidates: List<TrackedServer>,
        now: ComparableTimeMark,
    ): PromptPlan {
        val servers = serverTable.servers(request.service)
        val grouped = serverTable.hasShortPromptEngines(request.service)
        val key = PromptRank.key(prompt)
        val preferred =
            key?.let { rank ->
                PromptRank.first(rank, candidates) { it.forShortPrompts == request.shortPrompt }
                    ?: PromptRank.first(rank, candidates) { true }
            }
        val holder = key?.let { PromptHolders.holder(it, servers, request.shortPrompt, now) }
        val objectiveMs = request.latencyObjective.toDouble(DurationUnit.MILLISECONDS)
        val longGroupPenaltyMs =
            if (serverTable.fleet.reportsAreLate) {
                minOf(PromptPlan.LONG_GROUP_PENALTY_MS, objectiveMs * OTHER_GROUP_SHARE)
            } else {
                PromptPlan.LONG_GROUP_PENALTY_MS
            }
        return PromptPlan(prompt, request, preferred, holder, grouped, longGroupPenaltyMs)
    }

    private fun lowest(
        engines: List<TrackedServer>,
        plan: PromptPlan,
        now: ComparableTimeMark,
    ): TrackedServer? {
        var best: TrackedServer? = null
        var bestScore = 0.0
        for (server in engines) {
            val score = engineScore(server, plan, now)
            if (best == null || score < bestScore) {
                best = server
                bestScore = score
            }
        }
        return best
    }

    /**
     * Compares the engines ranked first for the prompt, and twice as many as long as none of them has the first event
     * ready in a part of the objective. VMs that decide on the same late reports thus send different prompts to
     * different engines, and a prompt is copied to few engines.
     */
    private fun widening(
        key: Long,
        candidates: List<TrackedServer>,
        request: SelectionRequest,
        plan: PromptPlan,
        now: ComparableTimeMark,
    ): TrackedServer? {
        val enoughMs = request.latencyObjective.toDouble(DurationUnit.MILLISECONDS) * ENOUGH_SHARE
        var width = FIRST_WIDTH
        while (width < candidates.size) {
            val compared = PromptRank.top(key, candidates, width) { it.forShortPrompts == request.shortPrompt }
            val best = lowest(compared, plan, now)
            if (best != null && engineScore(best, plan, now) <= enoughMs) return best
            if (compared.size < width) break
            width *= 2
        }
        return lowest(candidates, plan, now)
    }

    /**
     * Those of [candidates] at which [request] does not wait longer than it may. Long prompts that would wait at all
     * engines of their group are not diverted to those for short prompts.
     */
    private fun usable(
        candidates: List<TrackedServer>,
        request: SelectionRequest,
    ): List<TrackedServer> {
        if (request.longestWait == null) return candidates
        val usable = candidates.filter { !exceedsWait(it, request) }
        return if (request.shortPrompt || usable.any { !it.forShortPrompts }) usable else candidates
    }

    private fun exceedsWait(
        server: TrackedServer,
        request: SelectionRequest,
    ): Boolean {
        val longest = request.longestWait ?: return false
        val full = server.totalInFlight >= server.registered.slots.coerceAtLeast(1) * QUEUE_FACTOR
        return full ||
            server.totalUnprocessedTokens / TOKENS_PROCESSED_PER_MS > longest.toDouble(DurationUnit.MILLISECONDS)
    }

    private fun engineScore(
        server: TrackedServer,
        plan: PromptPlan,
        now: ComparableTimeMark,
    ): Double {
        val processingMs =
            (server.totalUnprocessedTokens + plan.tokensToProcess(server)) / TOKENS_PROCESSED_PER_MS
        val runningMs = server.totalInFlight * RUNNING_COST_MS + queued(server) * QUEUED_COST_MS
        val domainPenaltyMs = if (server.registered.domain == domain) 0.0 else CROSS_DOMAIN_MS
        val timeMs = processingMs + runningMs + domainPenaltyMs + plan.penaltyMs(server)
        return timeMs * server.health.penalty(now)
    }

    /** Requests that exceed the slots of the engine's batch, including this one. */
    private fun queued(server: TrackedServer): Int =
        (server.totalInFlight + 1 - server.registered.slots.coerceAtLeast(1)).coerceAtLeast(0)

    private fun plainScore(
        server: TrackedServer,
        now: ComparableTimeMark,
    ): Double {
        val relativeLoad = (server.totalInFlight + 1.0) / server.registered.slots.coerceAtLeast(1)
        val domainPenaltyMs = if (server.registered.domain == domain) 0.0 else CROSS_DOMAIN_MS
        val timeMs = server.health.responseTime.toDouble(DurationUnit.MILLISECONDS) * (1 + relativeLoad)
        return (timeMs + domainPenaltyMs) * server.health.penalty(now)
    }

    private companion object {
        /** Engines compared first; the second choice takes most of what is uneven, the third stands in for one that failed. */
        const val FIRST_WIDTH = 3

        /** The slots of an engine and a short queue, from which it fills a slot that becomes free at once. */
        const val QUEUE_FACTOR = 1.25

        /** Part of the objective within which the first event is expected at an engine that is good enough. */
        const val ENOUGH_SHARE = 0.5

        /** Part of the objective for which a long prompt waits rather than use an engine for short ones. */
        const val OTHER_GROUP_SHARE = 0.5

        /** Prompt tokens that an engine processes in a millisecond (48 to 57 in the deployment data). */
        const val TOKENS_PROCESSED_PER_MS = 50.0

        /** A long prompt waits for five batch steps, and each running request lengthens a step by 0.09 ms. */
        const val RUNNING_COST_MS = 0.5

        /** A slot in a full batch of 64 becomes free every 20 to 40 ms when streams last one to two seconds. */
        const val QUEUED_COST_MS = 30.0

        /** Network round trip to another failure domain, and a surcharge for the price of the traffic. */
        const val CROSS_DOMAIN_MS = 3.0
    }
}
