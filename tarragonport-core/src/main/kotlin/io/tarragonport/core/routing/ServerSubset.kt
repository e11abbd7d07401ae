package io.tarragonport.core.routing

import io.tarragonport.api.id.VmId
import io.tarragonport.core.admission.ServerStatus

/**
 * The servers of a pool that [vm] uses: all servers if there are at most [size], else about [size] of them.
 *
 * Each server is assigned to VMs by rendezvous hashing over the live VMs, so that every server has at least
 * [MINIMUM_VMS] VMs. If each VM chose its servers independently, about a tenth of a large pool would not be used.
 */
class ServerSubset(
    private val vm: VmId,
    private val size: Int,
) {
    private val ownHash = RendezvousHash.of(vm.value)

    /** The servers of [servers] that this VM uses while [liveVms] are live; this VM counts as live. */
    fun select(
        servers: List<ServerStatus>,
        liveVms: Collection<VmId>,
    ): List<AssignedServer> {
        val others = liveVms.filter { it != vm }.distinct()
        val fleetSize = others.size + 1
        if (servers.size <= size || fleetSize <= MINIMUM_VMS) return servers.map { AssignedServer(it, fleetSize) }
        val otherVmHashes = LongArray(others.size) { RendezvousHash.of(others[it].value) }
        val meanVms = (size.toDouble() * fleetSize / servers.size).coerceAtLeast(MINIMUM_VMS.toDouble())
        return servers.mapNotNull { assigned(it, otherVmHashes, meanVms) }
    }

    /** [server] with its number of VMs, or null if this VM is not one of them. */
    private fun assigned(
        server: ServerStatus,
        otherVmHashes: LongArray,
        meanVms: Double,
    ): AssignedServer? {
        val serverHash = RendezvousHash.of(server.id.value)
        val vmCount = vmCount(serverHash, meanVms).coerceAtMost(otherVmHashes.size + 1)
        val ownWeight = RendezvousHash.weight(ownHash, serverHash)
        val higherRankedVms = otherVmHashes.count { RendezvousHash.weight(it, serverHash) > ownWeight }
        return if (higherRankedVms < vmCount) AssignedServer(server, vmCount) else null
    }

    /**
     * Rounds [mean] up or down depending on the server's hash. If all servers used the same rounded number, a VM that
     * joins could change the assignments of every server at once.
     */
    private fun vmCount(
        serverHash: Long,
        mean: Double,
    ): Int = (mean + (serverHash ushr FRACTION_SHIFT) * FRACTION_UNIT).toInt()

    companion object {
        /** With two, no server loses its only VM if one VM fails. */
        const val MINIMUM_VMS = 2

        // The upper 53 bits of a hash as a fraction in [0, 1).
        private const val FRACTION_SHIFT = 11
        private const val FRACTION_UNIT = 1.0 / (1L shl 53)
    }
}
