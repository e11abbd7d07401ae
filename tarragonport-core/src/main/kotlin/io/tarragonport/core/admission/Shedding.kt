package io.tarragonport.core.admission

/** Chooses the request to shed when a pool's queue is full. */
internal object Shedding {
    /**
     * The request of [queue], which includes [arrival], to shed: in the lowest tier present, the request that would
     * start last of the class and organisation most over its share.
     */
    fun victim(
        queue: PoolQueue,
        arrival: WaitingRequest,
    ): WaitingRequest {
        val lowest = queue.lowestTier()
        val worst =
            lowest
                .mapNotNull { classQueue -> classQueue.mostOverShare()?.let { classQueue.overShare(it) to it } }
                .maxBy { it.first }
                .second
        val victim = checkNotNull(worst.last()) { "the organisation chosen for shedding has no waiting requests" }
        TierInvariant.checkShed(victim.tier, arrival.tier, queue.sizeByTier())
        return victim
    }
}
