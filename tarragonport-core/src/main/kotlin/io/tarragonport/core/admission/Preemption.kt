package io.tarragonport.core.admission

/** Chooses the running stream to preempt when a tier-1 request would otherwise miss its first-token target. */
internal object Preemption {
    /**
     * The stream among [running] to preempt for [beneficiary], or null if there is none. Streams that have produced
     * tokens are preferred, because preempting a request that waits in the engine's queue frees no slot.
     */
    fun victim(
        running: Collection<RunningRequest>,
        beneficiary: WaitingRequest,
        queue: PoolQueue,
    ): RunningRequest? {
        val eligible = running.filter { isPreemptible(it) && it.tier > beneficiary.tier }
        val lowest = eligible.maxOfOrNull { it.tier } ?: return null
        val victim =
            eligible
                .filter { it.tier == lowest }
                .maxWith(
                    compareBy({ it.lastTokenAt != 0L }, { queue.overShare(it.waiting.request) }, { -it.generated }),
                )
        TierInvariant.checkPreemption(victim.tier, beneficiary.tier, eligible.map { it.tier })
        return victim
    }

    private fun isPreemptible(attempt: RunningRequest): Boolean =
        !attempt.stopping &&
            attempt.waiting.request.requestClass.resumable &&
            attempt.waiting.preemptions < MAXIMUM_PREEMPTIONS

    /** A stream preempted this often is not preempted again, so that long requests finish during a lasting burst. */
    private const val MAXIMUM_PREEMPTIONS = 3
}
