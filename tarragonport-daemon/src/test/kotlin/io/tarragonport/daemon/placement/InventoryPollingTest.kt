package io.tarragonport.daemon.placement

import arrow.core.Either
import arrow.core.right
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.FencingToken
import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.PoolId
import io.tarragonport.api.id.RegionId
import io.tarragonport.api.id.VmId
import io.tarragonport.api.platform.BackendServerInterface
import io.tarragonport.api.platform.InventoryServer
import io.tarragonport.api.platform.InventoryServerState
import io.tarragonport.api.platform.PlatformError
import io.tarragonport.api.platform.ServerOrder
import io.tarragonport.daemon.membership.LiveVm
import io.tarragonport.daemon.membership.MembershipView
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Tests the division of inventory polling among VMs: the read rate, the loss of readers and the lease holder. */
class InventoryPollingTest {
    private val region = RegionId("lima")
    private val domains = listOf("lima-1", "lima-2", "lima-3").map(::FailureDomainId)
    private val live = MutableStateFlow<List<LiveVm>>(emptyList())
    private val view =
        object : MembershipView {
            override val liveVms = live
        }
    private val orderLeases = HashMap<VmId, MutableStateFlow<FencingToken?>>()
    private val pollers = HashMap<VmId, InventoryPoller>()
    private val jobs = HashMap<VmId, Job>()
    private val reads = mutableListOf<Pair<VmId, FailureDomainId>>()
    private var state = InventoryServerState.LIVE

    private fun vm(
        number: Int,
        region: RegionId,
    ) = LiveVm(VmId("vm-$number"), Incarnation(1), "", "", region, domains[0])

    /** Starts [local] VMs that poll; [remote] VMs of another region only add to the fleet size. */
    private fun TestScope.start(
        local: Int,
        remote: Int = 0,
    ) {
        live.value = (1..local).map { vm(it, region) } + (1..remote).map { vm(1_000 + it, RegionId("cusco")) }
        live.value.take(local).forEach { vm ->
            val orderLease = orderLeases.getOrPut(vm.id) { MutableStateFlow(null) }
            val schedule = SharedInventoryPollSchedule(vm.id, region, view, orderLease)
            val dispatcher = StandardTestDispatcher(testScheduler)
            val poller = InventoryPoller(platform(vm.id), domains, dispatcher, testTimeSource, schedule)
            pollers[vm.id] = poller
            jobs[vm.id] = backgroundScope.launch { poller.run() }
        }
    }

    private fun platform(vm: VmId) =
        object : BackendServerInterface {
            override suspend fun servers(domain: FailureDomainId): Either<PlatformError, List<InventoryServer>> {
                reads += vm to domain
                return listOf(InventoryServer(BackendServerId("s"), "", PoolId("p"), domain, state = state)).right()
            }

            override suspend fun order(
                domain: FailureDomainId,
                order: ServerOrder,
                permitted: () -> Boolean,
            ) = error("no order is expected")
        }

    private suspend fun readsIn(seconds: Int): List<Pair<VmId, FailureDomainId>> {
        reads.clear()
        delay(seconds.seconds)
        return reads.toList()
    }

    private fun readers(domain: FailureDomainId): Set<VmId> =
        reads
            .filter { it.second == domain }
            .groupingBy { it.first }
            .eachCount()
            .filterValues { it > 2 }
            .keys

    @Test
    fun `in a small fleet every VM polls often, in a large one two VMs per failure domain`() =
        runTest {
            start(local = 7, remote = 9)
            assertEquals(7 * 3 * 30, readsIn(60).size)
            jobs.values.forEach { it.cancel() }
            start(local = 46, remote = 364)
            delay(1.seconds)
            assertEquals(3 * (2 * 30 + 44 * 2), readsIn(60).size)
            domains.forEach { assertEquals(2, readers(it).size, "readers of $it") }
        }

    @Test
    fun `after the loss of both readers two other VMs start polling at once`() =
        runTest {
            start(local = 46)
            delay(1.seconds)
            readsIn(10)
            val lost = readers(domains[1])
            lost.forEach { jobs.getValue(it).cancel() }
            state = InventoryServerState.LEAVING
            assertEquals(emptySet(), readsIn(7).map { it.first }.toSet() intersect lost)
            live.value = live.value.filter { it.id !in lost }
            delay(1.seconds)
            val informed =
                pollers.filterKeys { it !in lost }.count { (_, poller) ->
                    poller.byDomain.value
                        .getValue(domains[1])
                        .servers
                        .single()
                        .state == InventoryServerState.LEAVING
                }
            assertTrue(informed >= 2, "$informed VMs see the server as leaving 1 s after the loss was detected")
            readsIn(10)
            assertEquals(2, readers(domains[1]).size)
        }

    @Test
    fun `the holder of the order lease polls every domain often as soon as it holds the lease`() =
        runTest {
            start(local = 46)
            delay(5.seconds)
            val holder = live.value.map { it.id }.first { vm -> reads.count { it.first == vm } == 3 }
            orderLeases.getValue(holder).value = FencingToken(1)
            assertEquals(3, readsIn(1).count { it.first == holder })
            assertEquals(15, readsIn(10).count { it.first == holder })
        }
}
