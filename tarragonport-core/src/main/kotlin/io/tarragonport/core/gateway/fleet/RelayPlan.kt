package io.tarragonport.core.gateway.fleet

import io.tarragonport.api.id.VmId
import io.tarragonport.core.routing.RendezvousHash
import kotlin.math.ceil
import kotlin.math.sqrt

/**
 * Topology of load reports, in which the number of messages per VM grows with the square root of the fleet size.
 *
 * In a small fleet every VM reports to every other. In a large one some VMs are relays: each other VM reports to one
 * relay, and relays report to each other. VMs with the same set of live VMs compute the same plan.
 */
class RelayPlan(
    private val self: VmId,
    live: Collection<VmId>,
) {
    private val vms = (live + self).toSet()
    private val relays: List<VmId> =
        if (vms.size <= MESH_SIZE) {
            vms.toList()
        } else {
            val weights = vms.associateWith { weight(RELAY_KEY, it) }
            vms.sortedByDescending { weights.getValue(it) }.take(ceil(sqrt(vms.size.toDouble())).toInt())
        }

    /** Whether this VM is a relay, which forwards the reports of other VMs. */
    val isRelay: Boolean = self in relays

    /** VMs to which this one reports. */
    val receivers: List<VmId> = if (isRelay) relays - self else listOf(relayOf(self))

    /** VMs that use this one as their relay. */
    val members: List<VmId> = if (isRelay) (vms - relays.toSet()).filter { relayOf(it) == self } else emptyList()

    private fun relayOf(vm: VmId): VmId = relays.maxBy { weight(vm.value, it) }

    private fun weight(
        key: String,
        vm: VmId,
    ): Long = RendezvousHash.weight(RendezvousHash.of(key), RendezvousHash.of(vm.value))

    companion object {
        /** Up to this size, a VM in a full mesh sends fewer messages than a relay would. */
        const val MESH_SIZE = 12
        private const val RELAY_KEY = "relays"
    }
}
