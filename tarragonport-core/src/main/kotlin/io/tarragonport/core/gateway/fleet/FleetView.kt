package io.tarragonport.core.gateway.fleet

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.VmId
import io.tarragonport.core.routing.RendezvousHash

/**
 * The live VMs as known to the VM [self].
 *
 * VMs with the same view agree on an order of all VMs for each server without exchanging messages.
 */
class FleetView(
    val self: VmId,
    live: Collection<VmId> = emptyList(),
) {
    private val hashes = (live + self).toSet().associateWith { RendezvousHash.of(it.value) }
    private val ownHash = hashes.getValue(self)

    /** Number of live VMs, including this one. */
    val size: Int get() = hashes.size

    /**
     * Whether loads of the other VMs arrive by relays and so late that many VMs would decide on the same outdated
     * report.
     */
    val reportsAreLate: Boolean get() = size > RelayPlan.MESH_SIZE

    /** Position of this VM in the order for the server with hash [server]; 0 is the first. */
    fun rank(server: Long): Int {
        val own = RendezvousHash.weight(server, ownHash)
        return hashes.values.count { RendezvousHash.weight(server, it) > own }
    }

    /** The first VM in the order for [server], which keeps the load of all VMs there. */
    fun keeper(server: BackendServerId): VmId {
        val serverHash = RendezvousHash.of(server.value)
        return hashes.maxBy { (_, hash) -> RendezvousHash.weight(serverHash, hash) }.key
    }
}
