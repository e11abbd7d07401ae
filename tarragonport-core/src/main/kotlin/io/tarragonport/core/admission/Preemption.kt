package io.tarragonport.core.admission

/** Chooses the running stream to preempt in favour of a request of a higher tier. */
internal object Preemption {
    /**
     * The stream among [running] to preempt for [beneficiary], or null if there is none. Among the streams of the
     * lowest tier, those that have produced tokens are preferred, because preempting a request that waits in the
     * engine's queue frees no slot; then the one whose organisation is most over its share, then the one with the
     * fewest tokens.
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
                    compareBy(
                        { it.lastTokenAt != 0L },
                        { queue.overShare(it.waiting.request) },
                        { -it.generatedTokens },
                    ),
                )
        TierInvariant.checkPreemption(victim.tier, beneficiary.tier, eligible.map { it.tier })
        return victim
    }

    private fun isPreemptible(attempt: RunningRequest): Boolean =
        !attempt.beingPreempted &&
            attempt.waiting.request.requestClass.resumable &&
            attempt.waiting.preemptions < MAXIMUM_PREEMPTIONS

    /** A stream preempted this often is not preempted again, so that long requests finish during a lasting burst. */
    private const val MAXIMUM_PREEMPTIONS = 3
}
