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
        val servers = serverTable.servers(request.service)
        val grouped = serverTable.hasShortPromptEngines(request.service)
        val key = PromptRank.key(prompt)
        val preferred =
            key?.let { rank ->
                PromptRank.first(rank, candidates) { it.forShortPrompts == request.shortPrompt }
                    ?: PromptRank.first(rank, candidates) { true }
            }
        val holder = key?.let { PromptHolders.holder(it, servers, request.shortPrompt, now) }
        val plan = PromptPlan(prompt, request, preferred, holder, grouped)
        var best: TrackedServer? = null
        var bestScore = 0.0
        for (server in candidates) {
            val score = engineScore(server, plan, now)
            if (best == null || score < bestScore) {
                best = server
                bestScore = score
            }
        }
        return best?.let {
            ServerChoice(it, bestScore, plan.tokensToProcess(it), candidates.size, plan.fetchFrom(it))
        }
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
