package io.tarragonport.daemon

import io.tarragonport.api.backend.BackendServerClient
import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.platform.BackendServerInterface
import io.tarragonport.api.platform.ObjectStore
import io.tarragonport.api.platform.WeightStore
import io.tarragonport.api.settings.ProcessSettings
import io.tarragonport.api.status.LeaseStatus
import io.tarragonport.core.lease.LeaseOwner
import io.tarragonport.daemon.configuration.ConfigurationSource
import io.tarragonport.daemon.lease.LeaseCandidacy
import io.tarragonport.daemon.lease.LeaseLoop
import io.tarragonport.daemon.membership.MembershipView
import io.tarragonport.daemon.membership.vmsInRegionOf
import io.tarragonport.daemon.placement.DemandSource
import io.tarragonport.daemon.placement.InventoryPoller
import io.tarragonport.daemon.placement.PlacementLoop
import io.tarragonport.daemon.placement.SharedInventoryPollSchedule
import io.tarragonport.daemon.placement.WeightLoop

/** Polls the inventory of the region's backend servers and sends orders while this process holds the region's lease. */
internal class OrderModule(
    settings: ProcessSettings,
    incarnation: Incarnation,
    store: ObjectStore,
    private val backend: BackendServerInterface,
    private val weights: WeightStore,
    private val configuration: ConfigurationSource,
    fleet: MembershipView,
    private val loops: ControlLoops,
    private val decorators: ComponentDecorators,
) {
    private val vm = settings.vmId
    private val region = settings.region
    private val domains: List<FailureDomainId> = (settings.failureDomains + settings.failureDomain).distinct()
    private val leaseName = "orders/$region"
    private val candidacy = LeaseCandidacy(leaseName, vm) { fleet.vmsInRegionOf(vm) }
    private val lease =
        LeaseLoop(leaseName, LeaseOwner(vm, incarnation), store, loops.dispatcher, eligible = candidacy::eligible)

    /** Backend servers that the platform lists in the region. */
    val inventory =
        InventoryPoller(
            backend = backend,
            domains = domains,
            dispatcher = loops.dispatcher,
            schedule = SharedInventoryPollSchedule(vm, region, fleet, lease.heldToken),
        )

    /** The lease, if this process holds it. */
    val heldLease: LeaseStatus? get() = lease.heldToken.value?.let { LeaseStatus(leaseName, it) }

    fun start(
        demand: DemandSource,
        engines: BackendServerClient,
    ) {
        val guard = decorators.orderLease(lease)
        val placement =
            PlacementLoop(
                vm = vm,
                region = region,
                domains = domains,
                backend = backend,
                inventory = inventory,
                guard = guard,
                configuration = configuration,
                demand = demand,
                dispatcher = loops.dispatcher,
            )
        val weightLoop =
            WeightLoop(
                vm = vm,
                region = region,
                weights = weights,
                serverClient = engines,
                inventory = inventory,
                guard = guard,
                configuration = configuration,
                dispatcher = loops.dispatcher,
            )
        loops.start("inventory") { inventory.run() }
        loops.start("order lease") { lease.run() }
        loops.start("placement") { placement.run() }
        loops.start("weights") { weightLoop.run() }
    }

    /** Releases the lease. */
    suspend fun stop() = lease.release()
}
