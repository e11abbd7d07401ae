package io.tarragonport.daemon.limit

import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.VmId
import io.tarragonport.core.membership.RendezvousSelection

/**
 * The aggregator of each organisation, by rendezvous hashing over the live VMs. Kept while these are the same: at 650
 * organisations and 410 VMs the hashing every 250 ms would take more than the processor time for control work.
 */
internal class AggregatorChoice(
    private val self: VmId,
) {
    private val chosen = HashMap<OrganisationId, VmId>()
    private var live: List<VmId> = emptyList()

    /** Sets the live VMs. */
    fun update(vms: List<VmId>) {
        if (vms == live) return
        live = vms
        chosen.clear()
    }

    fun of(organisation: OrganisationId): VmId =
        chosen.getOrPut(organisation) { RendezvousSelection.choose("limit/$organisation", live) ?: self }
}
