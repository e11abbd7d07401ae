package io.tarragonport.core.placement

import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.platform.InventoryServer
import io.tarragonport.api.platform.InventoryServerState
import kotlin.time.ComparableTimeMark
import kotlin.time.TimeSource

/** Remembers in which failure domains a kind of server cannot be had at present. */
internal class Availability(
    private val settings: PlacementSettings,
    private val clock: TimeSource.WithComparableMarks,
) {
    private val until = mutableMapOf<Pair<FailureDomainId, CapacityKind>, ComparableTimeMark>()

    fun canStart(
        domain: FailureDomainId,
        kind: CapacityKind,
    ): Boolean = until[domain to kind]?.hasPassedNow() ?: true

    /** A start was rejected because none can be had. */
    fun rejected(
        domain: FailureDomainId,
        kind: CapacityKind,
    ) = block(domain, kind, clock.markNow() + settings.unavailableFor)

    /** Takes reclaim notices from the inventory: where cheap servers are taken away, none are started for a while. */
    fun observe(inventory: List<InventoryServer>) {
        inventory
            .filter { it.state == InventoryServerState.LEAVING && it.leavesInMs != null }
            .map { it.failureDomain to CapacityKind.of(it.cheap) }
            .distinct()
            .forEach { (domain, kind) -> block(domain, kind, clock.markNow() + settings.reclaimedFor) }
    }

    private fun block(
        domain: FailureDomainId,
        kind: CapacityKind,
        end: ComparableTimeMark,
    ) {
        val known = until[domain to kind]
        if (known == null || known < end) {
            until[domain to kind] = end
        }
    }
}
