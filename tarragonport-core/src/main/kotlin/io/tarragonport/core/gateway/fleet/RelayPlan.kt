package io.tarragonport.core.gateway.fleet

import io.tarragonport.api.id.VmId
import io.tarragonport.core.routing.RendezvousHash
import kotlin.math.ceil
import kotlin.math.sqrt

/**
 * Which VMs talk to which, so that the messages of one VM grow with the root of the fleet.
 *
 * In a small fleet every VM reports to every other. In a large one some VMs are relays: the others report to one of them,
 * and relays report to each other. All VMs that know the same live ones draw the same plan.
 */
class RelayPlan(
    private val self: VmId,
    live: Collection<VmId>,
) {
    private val all = (live + self).toSet()
    private val relays: List<VmId> =
        if (all.size <= MESH_SIZE) {
            all.toList()
        } else {
            all.sortedByDescending { weight(RELAYS, it) }.take(ceil(sqrt(all.size.toDouble())).toInt())
        }

    /** Whether this VM passes on the reports of others. */
    val relaysHere: Boolean = self in relays

    /** VMs that this one reports to. */
    val receivers: List<VmId> = if (relaysHere) relays - self else listOf(relayOf(self))

    /** VMs without a relay's work that report to this one. */
    val members: List<VmId> = if (relaysHere) (all - relays.toSet()).filter { relayOf(it) == self } else emptyList()

    private fun relayOf(vm: VmId): VmId = relays.maxBy { weight(vm.value, it) }

    private fun weight(
        key: String,
        vm: VmId,
    ): Long = RendezvousHash.weight(RendezvousHash.of(key), RendezvousHash.of(vm.value))

    companion object {
        /** Up to this size, each VM sends fewer messages without relays than a relay would. */
        const val MESH_SIZE = 12
        private const val RELAYS = "relays"
    }
}
