package io.tarragonport.core.admission

/** Chooses the request to shed when a pool's queue is full. */
internal object Shedding {
    /**
     * The request of [queue], which includes [arrival], to shed. Of the classes in the lowest tier present, it takes
     * the organisation most over its share, and of that organisation's requests the one that would start last.
     */
    fun victim(
        queue: PoolQueue,
        arrival: WaitingRequest,
    ): WaitingRequest {
        val lowestTier = queue.lowestTierClasses()
        val mostOverShare =
            lowestTier
                .mapNotNull { classQueue -> classQueue.mostOverShare()?.let { classQueue.overShare(it) to it } }
                .maxBy { it.first }
                .second
        val victim =
            checkNotNull(mostOverShare.last()) { "the organisation chosen for shedding has no waiting requests" }
        TierInvariant.checkShed(victim.tier, arrival.tier, queue.sizeByTier())
        return victim
    }
}
