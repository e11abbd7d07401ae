package io.tarragonport.standin.platform

import io.tarragonport.api.configuration.ConfigurationDocument
import io.tarragonport.api.configuration.Pool
import io.tarragonport.api.configuration.PoolKind
import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.PoolId
import io.tarragonport.api.id.RegionId
import io.tarragonport.api.id.VmId
import io.tarragonport.api.platform.BackendServerInterface
import io.tarragonport.api.platform.ObjectStore
import io.tarragonport.core.configuration.Configuration
import io.tarragonport.core.lease.LeaseOwner
import io.tarragonport.core.lease.LeaseSettings
import io.tarragonport.core.placement.PlacementSettings
import io.tarragonport.daemon.configuration.ConfigurationSource
import io.tarragonport.daemon.lease.LeaseLoop
import io.tarragonport.daemon.placement.DemandSource
import io.tarragonport.daemon.placement.InventoryPollSchedule
import io.tarragonport.daemon.placement.InventoryPoller
import io.tarragonport.daemon.placement.PlacementLoop
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Control loops of one VM in region r, which consists of the failure domains a, b and c.
 *
 * VMs that use the same [ObjectStore] compete for the order lease of the region.
 */
class PlacementTestVm(
    val name: String,
    store: ObjectStore,
    backend: BackendServerInterface,
    dispatcher: CoroutineDispatcher,
    clock: TimeSource.WithComparableMarks,
    demand: DemandSource,
    leaseSettings: LeaseSettings = LeaseSettings(),
    placementSettings: PlacementSettings = PlacementSettings(scaleDownAfter = 5.seconds),
    orderTimeout: Duration = PlacementLoop.ORDER_TIMEOUT,
    interval: Duration = PlacementLoop.DECISION_INTERVAL,
) {
    private val pool = Pool(PoolId("p"), PoolKind.SERVICE, "p", slots = 1, minimumServers = 1, maximumServers = 12)
    private val configuration =
        object : ConfigurationSource {
            override val current =
                MutableStateFlow<Configuration?>(Configuration(ConfigurationDocument(pools = listOf(pool)), emptyMap()))
            override val isolated = MutableStateFlow(false)
        }
    private val inventory =
        InventoryPoller(
            backend,
            DOMAINS,
            dispatcher,
            clock,
            InventoryPollSchedule.fixed(
                interval / 2,
            ),
        )
    val lease =
        LeaseLoop("orders/r", LeaseOwner(VmId(name), Incarnation(1)), store, dispatcher, clock, leaseSettings)
    private val placement =
        PlacementLoop(
            vm = VmId(name),
            region = RegionId("r"),
            domains = DOMAINS,
            backend = backend,
            inventory = inventory,
            guard = this.lease,
            configuration = configuration,
            demand = demand,
            dispatcher = dispatcher,
            settings = placementSettings,
            clock = clock,
            orderTimeout = orderTimeout,
            interval = interval,
        )

    fun start(scope: CoroutineScope) {
        scope.launch { lease.run() }
        scope.launch { inventory.run() }
        scope.launch { placement.run() }
    }

    companion object {
        val DOMAINS = listOf("a", "b", "c").map(::FailureDomainId)
        val POOL = PoolId("p")

        fun spares(): List<SpareServer> =
            DOMAINS.flatMap { domain ->
                (1..6).map { SpareServer("http://127.0.0.1:$it", domain) }
            }

        /** Finds fencing tokens used by several leaseholders and tokens that decrease in order of arrival. */
        fun violations(orders: List<ReceivedServerOrder>): List<String> {
            val shared =
                orders
                    .groupBy { it.order.fencingToken }
                    .filterValues { sameToken -> sameToken.distinctBy { it.order.holder }.size > 1 }
                    .map { "fencing token ${it.key} is used by several holders" }
            val decreasing =
                orders
                    .zipWithNext()
                    .filter { (earlier, later) -> later.order.fencingToken < earlier.order.fencingToken }
                    .map { (earlier, later) -> "$later after $earlier" }
            return shared + decreasing
        }
    }
}
