package io.tarragonport.daemon.limit

import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.VmId
import io.tarragonport.core.membership.RendezvousSelection

/**
 * Selects the aggregator of each organisation by rendezvous hashing over the live VMs. The result is cached until the
 * live VMs change: with 650 organisations and 410 VMs, hashing every 250 ms would exceed the processor time budget for
 * control work.
 */
internal class AggregatorSelector(
    private val self: VmId,
) {
    private val aggregators = HashMap<OrganisationId, VmId>()
    private var live: List<VmId> = emptyList()

    /** Sets the live VMs to [vms] and clears the cache if they changed. */
    fun update(vms: List<VmId>) {
        if (vms == live) return
        live = vms
        aggregators.clear()
    }

    /** The aggregator of [organisation]; this VM if no VM is live. */
    fun of(organisation: OrganisationId): VmId =
        aggregators.getOrPut(organisation) { RendezvousSelection.choose("limit/$organisation", live) ?: self }
}
