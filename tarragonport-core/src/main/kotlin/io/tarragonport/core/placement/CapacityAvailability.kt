package io.tarragonport.core.placement

import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.platform.InventoryServer
import io.tarragonport.api.platform.InventoryServerState
import kotlin.time.ComparableTimeMark
import kotlin.time.TimeSource

/** Tracks the failure domains in which a kind of server is currently unavailable. */
internal class CapacityAvailability(
    private val settings: PlacementSettings,
    private val clock: TimeSource.WithComparableMarks,
) {
    private val unavailableUntil = mutableMapOf<Pair<FailureDomainId, CapacityKind>, ComparableTimeMark>()

    fun canStart(
        domain: FailureDomainId,
        kind: CapacityKind,
    ): Boolean = unavailableUntil[domain to kind]?.hasPassedNow() ?: true

    /** Records that a start was rejected because no server is available. */
    fun rejected(
        domain: FailureDomainId,
        kind: CapacityKind,
    ) = block(domain, kind, clock.markNow() + settings.unavailableBackoff)

    /** Applies reclaim notices: where a kind of server is being reclaimed, none of that kind is started for a while. */
    fun observe(inventory: List<InventoryServer>) {
        inventory
            .filter { it.state == InventoryServerState.LEAVING && it.leavesInMs != null }
            .map { it.failureDomain to CapacityKind.of(it.cheap) }
            .distinct()
            .forEach { (domain, kind) -> block(domain, kind, clock.markNow() + settings.reclaimBackoff) }
    }

    private fun block(
        domain: FailureDomainId,
        kind: CapacityKind,
        end: ComparableTimeMark,
    ) {
        val current = unavailableUntil[domain to kind]
        if (current == null || current < end) {
            unavailableUntil[domain to kind] = end
        }
    }
}
