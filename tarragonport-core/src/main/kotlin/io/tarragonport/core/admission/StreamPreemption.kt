package io.tarragonport.core.admission

import io.tarragonport.api.id.RequestId
import io.tarragonport.core.routing.RoutedServer

/**
 * Preempts running requests: streams of lower tiers in favour of tier 1 or of short requests in an engine's queue,
 * streams on servers that are reclaimed or slow, and long requests that wait in an engine's queue and can no longer
 * meet their deadline.
 */
internal class StreamPreemption(
    private val preemptionCounts: PreemptionCounts,
) {
    /** Frees slots for waiting requests of tier 1 that would otherwise miss their first-token target. */
    fun preemptForTierOne(
        state: PoolState,
        now: Long,
        decisions: MutableList<DispatchDecision>,
    ) {
        val pendingPreemptions = state.running.count { it.beingPreempted }
        val urgent =
            state.queue
                .tierOneClasses()
                .mapNotNull { it.head(now) }
                .filter { isUrgent(it, now) }
        for (beneficiary in urgent.drop(pendingPreemptions)) {
            val victim = Preemption.victim(state.running, beneficiary, state.queue) ?: return
            decisions += preempt(victim, beneficiary.request.id)
        }
    }

    /** Frees slots at servers where short requests wait in the engine's queue behind streams of lower tiers. */
    fun preemptOnSameServer(
        state: PoolState,
        now: Long,
        decisions: MutableList<DispatchDecision>,
    ) {
        val queuedInEngine = state.running.filter { isQueuedInEngine(it, now) }
        queuedInEngine.groupBy { it.server }.forEach { (server, waiting) ->
            val onServer = state.running.filter { it.server === server }
            waiting.drop(onServer.count { it.beingPreempted }).forEach { beneficiary ->
                val victim = Preemption.victim(onServer, beneficiary.waiting, state.queue)
                if (victim != null) decisions += preempt(victim, beneficiary.waiting.request.id)
            }
        }
    }

    /**
     * Cancels long requests that wait in an engine's queue and can no longer meet their deadline, before the engine
     * spends time on them. They are refused when they are submitted again.
     */
    fun cancelUnreachable(
        state: PoolState,
        now: Long,
        decisions: MutableList<DispatchDecision>,
    ) = state.running
        .filter { it.waiting.route.long && it.lastTokenAt == 0L && !it.beingPreempted && it.waiting.latestStart < now }
        .filter { it.waiting.request.requestClass.repeatable }
        .forEach { decisions += preempt(it, it.waiting.request.id) }

    /** Moves streams off servers that are about to be reclaimed while there is time to resume them. */
    fun relocateFromReclaimed(
        state: PoolState,
        decisions: MutableList<DispatchDecision>,
    ) = relocate(state, decisions) { it.leaving && it.status.cheap }

    /** Preempts resumable streams on [servers], each as its own beneficiary, so that they resume on another server. */
    fun relocate(
        state: PoolState,
        decisions: MutableList<DispatchDecision>,
        servers: (RoutedServer) -> Boolean,
    ) {
        state.running
            .filter { !it.beingPreempted && it.waiting.request.requestClass.resumable && servers(it.server) }
            .sortedWith(compareBy<RunningRequest> { it.tier }.thenByDescending { it.remainingTokens })
            .forEach { decisions += preempt(it, it.waiting.request.id) }
    }

    private fun isQueuedInEngine(
        attempt: RunningRequest,
        now: Long,
    ): Boolean =
        !attempt.waiting.route.long && attempt.lastTokenAt == 0L && now - attempt.startedAt > ENGINE_QUEUE_NANOS

    /** On time, but within the margin that a preemption needs. */
    private fun isUrgent(
        waiting: WaitingRequest,
        now: Long,
    ): Boolean = waiting.startDeadline in now..now + PREEMPTION_MARGIN_NANOS

    private fun preempt(
        attempt: RunningRequest,
        beneficiary: RequestId,
    ): DispatchDecision {
        attempt.beingPreempted = true
        preemptionCounts.record(attempt.waiting.request.id, attempt.waiting.preemptions + 1)
        return DispatchDecision.Preempt(attempt.waiting.request.id, attempt.server.status.id, beneficiary)
    }

    private companion object {
        /**
         * An engine with a free slot returns the first token within about this time. A short request without a token
         * after it is assumed to wait in the engine's queue.
         */
        const val ENGINE_QUEUE_NANOS = 300_000_000L

        /** Covers two round trips and one engine step to cancel a stream and to send the waiting request. */
        const val PREEMPTION_MARGIN_NANOS = 250_000_000L
    }
}
