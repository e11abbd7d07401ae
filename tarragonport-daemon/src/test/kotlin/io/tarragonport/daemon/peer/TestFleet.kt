package io.tarragonport.daemon.peer

import arrow.core.right
import io.tarragonport.api.configuration.SectionName
import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.RegionId
import io.tarragonport.api.id.VmId
import io.tarragonport.api.peer.MemberDetails
import io.tarragonport.api.platform.ListedVm
import io.tarragonport.api.platform.VmList
import io.tarragonport.core.membership.LocalMember
import io.tarragonport.daemon.configuration.ConfigurationLoop
import io.tarragonport.daemon.configuration.FakeObjectStore
import io.tarragonport.daemon.limit.LimitLoop
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.testTimeSource
import kotlin.random.Random

/** Several VMs with membership, configuration, limits and crash broadcast on virtual time, sharing one store. */
internal class TestFleet(
    private val scope: TestScope,
    size: Int = 7,
    private val seed: Int = 1,
) {
    val store = FakeObjectStore()
    val network = VirtualNetwork(scope.backgroundScope, seed)
    val vms = LinkedHashMap<String, Vm>()
    val names = List(size) { "vm-$it" }

    class Vm(
        val job: Job,
        val dispatcher: FreezableDispatcher,
        val storeConnection: StoreConnection,
        val node: PeerNode,
        val configuration: ConfigurationLoop,
        val limits: LimitLoop,
        val crashes: CrashBroadcast,
        val recordedCrashes: RecordedCrashes,
    ) {
        fun liveNames() =
            node.liveVms.value
                .map { it.id.value }
                .toSet()

        fun organisation() =
            configuration.current.value
                ?.document
                ?.organisations
                ?.firstOrNull()
                ?.id
                ?.value

        fun version() =
            configuration.current.value
                ?.versions
                ?.get(SectionName.ORGANISATIONS)
    }

    fun startAll() = names.forEach { start(it) }

    /** Starts or restarts a VM. */
    fun start(
        name: String,
        seeds: List<String> = names.take(3),
        disconnected: Boolean = false,
    ): Vm {
        stop(name)
        val dispatcher = FreezableDispatcher(StandardTestDispatcher(scope.testScheduler))
        val region = RegionId("lima")
        val details = MemberDetails(name, "$name-caller", region, FailureDomainId("lima-1"))
        val incarnation = Incarnation(1 + scope.testScheduler.currentTime)
        val local = LocalMember(VmId(name), incarnation, details)
        val storeConnection = StoreConnection(store).also { it.disconnected = disconnected }
        val random = Random(seed * 1_000 + name.hashCode())
        val list =
            vmList {
                if (storeConnection.disconnected || store.down) {
                    storeConnection.list("", false).map { emptyList() }
                } else {
                    names.map { ListedVm(VmId(it), it, "", region, FailureDomainId("lima-1")) }.right()
                }
            }
        val time = scope.testTimeSource
        val node = PeerNode(local, seeds, list, network.transport(name), time, random)
        val configuration = ConfigurationLoop(storeConnection, local.id, region, node, time, node)
        val limits = LimitLoop(local.id, configuration, node, node, time)
        val recordedCrashes = RecordedCrashes()
        val crashes = CrashBroadcast(local.id, region, node, node, recordedCrashes)
        val job =
            scope.backgroundScope.launch(dispatcher) {
                launch { node.run() }
                launch { configuration.run() }
                launch { limits.run() }
                launch { crashes.run() }
            }
        return Vm(job, dispatcher, storeConnection, node, configuration, limits, crashes, recordedCrashes).also {
            vms[name] = it
        }
    }

    fun stop(name: String) {
        vms.remove(name)?.job?.cancel()
    }

    /** Makes VM [name] announce its leave and then stop. */
    fun leave(name: String) {
        val vm = vms.getValue(name)
        scope.backgroundScope.launch(vm.dispatcher) {
            vm.node.leave()
            stop(name)
        }
    }

    fun stopAll() = vms.keys.toList().forEach(::stop)

    /** Partitions [group] from the other VMs. */
    fun partition(group: Collection<String>) {
        network.drops = { from, to -> (from in group) != (to in group) }
    }

    fun heal() {
        network.drops = { _, _ -> false }
    }

    fun setOrganisation(name: String) = store.set(SectionName.ORGANISATIONS.objectName, """[{"id":"$name"}]""")

    fun organisations() = vms.values.map { it.organisation() }.toSet()

    private fun vmList(
        response: suspend () -> arrow.core.Either<io.tarragonport.api.platform.PlatformError, List<ListedVm>>,
    ) = object : VmList {
        override suspend fun vms() = response()
    }
}
