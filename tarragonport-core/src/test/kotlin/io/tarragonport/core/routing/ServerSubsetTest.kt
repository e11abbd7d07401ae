package io.tarragonport.core.routing

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.VmId
import io.tarragonport.core.admission.Requests
import io.tarragonport.core.admission.ServerStatus
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against servers without a VM, subsets of uneven size and needless changes of assignments. */
class ServerSubsetTest {
    private val size = 64
    private val servers = Requests.servers(1_500)

    private fun subsets(
        servers: List<ServerStatus>,
        vms: List<VmId>,
    ): Map<VmId, List<AssignedServer>> = vms.associateWith { ServerSubset(it, size).select(servers, vms) }

    private fun assignments(
        servers: List<ServerStatus>,
        vms: List<VmId>,
    ): Set<Pair<VmId, BackendServerId>> =
        subsets(servers, vms).flatMapTo(HashSet()) { (vm, subset) -> subset.map { vm to it.status.id } }

    @Test
    fun `every server has at least two VMs and all of them compute their correct number`() {
        for (fleet in 2..60) {
            for (pool in listOf(1, 2, 64, 65, 100, 500, 1_500)) {
                val subsets = subsets(servers.take(pool), Requests.vms(fleet)).values.flatten()
                val vmCount = subsets.groupBy({ it.status.id }, { it.vmCount })
                assertEquals(pool, vmCount.size, "servers with a VM in a pool of $pool, $fleet VMs")
                vmCount.forEach { (server, counts) ->
                    assertTrue(counts.size >= 2, "$server in a pool of $pool has ${counts.size} of $fleet VMs")
                    assertTrue(
                        counts.all { it == counts.size },
                        "$server has ${counts.size} VMs, which computed $counts",
                    )
                }
            }
        }
    }

    @Test
    fun `a small pool is used completely and a large one in subsets of about equal size`() {
        for (fleet in listOf(2, 7, 46)) {
            assertTrue(subsets(servers.take(size), Requests.vms(fleet)).values.all { it.size == size })
        }
        for ((fleet, pool) in listOf(7 to 100, 46 to 200, 46 to 1_333, 60 to 1_500)) {
            val sizes = subsets(servers.take(pool), Requests.vms(fleet)).values.map { it.size }
            assertTrue(sizes.average() in 62.0..66.0, "mean ${sizes.average()} of $pool servers, $fleet VMs")
            assertTrue(sizes.min() >= 40 && sizes.max() <= 90, "sizes ${sizes.sorted()}")
        }
    }

    @Test
    fun `a VM that joins or leaves changes few assignments`() {
        for ((fleet, pool) in listOf(7 to 100, 20 to 600, 46 to 1_333, 59 to 1_500)) {
            val before = assignments(servers.take(pool), Requests.vms(fleet))
            val after = assignments(servers.take(pool), Requests.vms(fleet + 1))
            val joined = Requests.vms(fleet + 1).last()
            val lost = (before - after).size
            val gained = (after - before).count { it.first != joined }
            assertTrue(lost <= 1.5 * size, "$lost of ${before.size} assignments lost with $fleet VMs")
            assertTrue(gained <= 1.5 * size, "$gained of ${before.size} assignments gained with $fleet VMs")
        }
    }

    @Test
    fun `a server that leaves the pool does not change the assignments of others`() {
        val vms = Requests.vms(46)
        val chosen = ServerSubset(vms[0], size).select(servers.take(1_000), vms).map { it.status.id }.toSet()
        val remaining = servers.take(1_000).filter { it.id != chosen.first() }
        val fewer = ServerSubset(vms[0], size).select(remaining, vms).map { it.status.id }.toSet()
        assertEquals(chosen - chosen.first(), chosen intersect fewer)
    }
}
