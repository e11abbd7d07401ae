package io.tarragonport.core.gateway.usage

import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.StoreEra
import io.tarragonport.core.store.EraSighting
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The final request counts of usage windows that this VM knows, and the windows whose counts it may determine.
 *
 * A lease holder determines the counts of a window by creating an object in the object store before it reports them. If
 * the store is restored from an older copy, that object can be lost although its counts were reported. Counts therefore
 * count as final once any VM has learnt them, and several VMs publish them in their records. A window that a holder may
 * have reported before the restore, and whose counts no VM knows, is not reported again.
 */
class FinalCounts(
    private val windowLength: Duration,
) {
    private val known = sortedMapOf<Long, Map<OrganisationId, Long>>()

    /** The current era of the store and the earliest time at which a VM saw it; null for a store without eras. */
    var sighting: EraSighting? = null
        private set

    /** The final counts of [window]; null if this VM does not know them. */
    fun of(window: Long): Map<OrganisationId, Long>? = known[window]

    /** Final counts of [firstWindow] and later windows. */
    fun since(firstWindow: Long): Map<Long, Map<OrganisationId, Long>> = known.tailMap(firstWindow).toMap()

    /** Takes note of the final [counts] of [window], unless others are known. */
    fun learn(
        window: Long,
        counts: Map<OrganisationId, Long>,
    ) {
        known.putIfAbsent(window, counts)
        while (known.size > MAXIMUM_KNOWN) known.remove(known.firstKey())
    }

    /** Reports that this VM received the first response of [era] at [atMs], in milliseconds since 1970. */
    fun eraBegan(
        era: StoreEra,
        atMs: Long,
    ) {
        sighting = EraSighting(era, atMs)
    }

    /** Takes note of when another VM first received a response of an era. */
    fun learn(other: EraSighting) {
        val own = sighting ?: return
        if (other.era == own.era && other.atMs < own.atMs) sighting = other
    }

    /**
     * Whether a VM that alone has held the lease since [heldSinceMs] may determine the counts of [window] if it does not
     * know them: no earlier holder, in this or an earlier era of the store, can have done so unnoticed.
     */
    fun mayDetermine(
        window: Long,
        heldSinceMs: Long,
    ): Boolean {
        val era = sighting ?: return true
        val closesMs = (window + 1) * windowLength.inWholeMilliseconds + CLOSING_DELAY.inWholeMilliseconds
        return closesMs > minOf(era.atMs, heldSinceMs) + MAXIMUM_CLOCK_DIFFERENCE.inWholeMilliseconds
    }

    companion object {
        /** No window is closed sooner than this after its end. */
        val CLOSING_DELAY: Duration = 1.seconds

        /** Largest difference between the wall clocks of two VMs. */
        val MAXIMUM_CLOCK_DIFFERENCE: Duration = 5.seconds

        /** More than the number of windows whose reports are not overdue. */
        private const val MAXIMUM_KNOWN = 16
    }
}
