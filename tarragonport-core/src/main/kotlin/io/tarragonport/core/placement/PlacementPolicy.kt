package io.tarragonport.core.placement

import io.tarragonport.api.configuration.PoolKind
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.PoolId
import io.tarragonport.api.platform.InventoryServer
import io.tarragonport.api.platform.InventoryServerState
import io.tarragonport.api.platform.ServerOrderKind
import kotlin.time.ComparableTimeMark
import kotlin.time.TimeSource

/**
 * Decides which servers to start, drain and stop.
 *
 * It scales up immediately. It scales down only after there was a surplus at [PlacementSettings.scaleDownUtilisation]
 * for [PlacementSettings.scaleDownAfter]. Its state (pending starts, drains, surpluses, unavailable kinds) is only in
 * memory and therefore empty in a new lease holder, which at worst starts a server twice or stops one later. Not
 * thread-safe.
 */
class PlacementPolicy(
    private val settings: PlacementSettings,
    private val clock: TimeSource.WithComparableMarks,
) {
    private val plan = CapacityPlan(settings)
    private val availability = CapacityAvailability(settings, clock)
    private val transfers = TransferBudget(settings.transfersPerMinute, clock)
    private val pending = mutableListOf<PendingStart>()
    private val listedIds = mutableSetOf<BackendServerId>()
    private val drainedSince = mutableMapOf<BackendServerId, ComparableTimeMark>()
    private val stoppedSince = mutableMapOf<BackendServerId, ComparableTimeMark>()
    private val surpluses = mutableMapOf<Pair<PoolId, CapacityKind>, Surplus>()

    /**
     * Decides for all pools, those with the largest relative shortage first, because all share the weight store's
     * budget.
     */
    fun decide(input: PlacementInput): List<PoolDecision> {
        observe(input.inventory)
        return input.pools
            .filter { it.managed }
            .map { pool -> PoolView(pool, loadOf(pool, input), serversOf(pool, input)) }
            .sortedByDescending { shortage(it) }
            .map { decide(it, input) }
    }

    /** Records a start rejected because no server is available; the next decision uses another domain or kind. */
    fun onRejected(order: PlannedOrder) {
        pending.removeAt(pending.indexOfFirst { it.order == order }.takeIf { it >= 0 } ?: return)
        availability.rejected(order.domain, order.capacity)
    }

    /** Records that an order was not sent. */
    fun onNotSent(order: PlannedOrder) {
        pending.indexOfFirst { it.order == order }.takeIf { it >= 0 }?.let { pending.removeAt(it) }
        order.server?.takeIf { order.kind == ServerOrderKind.DRAIN }?.let { drainedSince.remove(it) }
    }

    private fun observe(inventory: List<InventoryServer>) {
        val now = clock.markNow()
        availability.observe(inventory)
        inventory.filter { listedIds.add(it.id) }.forEach { removePendingStart(it) }
        listedIds.retainAll(inventory.map { it.id }.toSet())
        pending.removeAll { it.orderedAt + settings.pendingLimit <= now }
        val drained = inventory.filter { it.state == InventoryServerState.LEAVING && it.leavesInMs == null }
        drained.forEach { drainedSince.putIfAbsent(it.id, now) }
        drainedSince.keys.retainAll(listedIds)
        stoppedSince.keys.retainAll(listedIds)
        stoppedSince.values.removeAll { it + settings.pendingLimit <= now }
        val notLeaving = inventory.filter { it.state != InventoryServerState.LEAVING }.map { it.id }.toSet()
        drainedSince.entries.removeAll { (id, since) -> id in notLeaving && since + settings.pendingLimit <= now }
    }

    private fun removePendingStart(server: InventoryServer) {
        val index =
            pending.indexOfFirst {
                it.order.pool == server.pool &&
                    it.order.domain == server.failureDomain &&
                    it.order.capacity == CapacityKind.of(server.cheap)
            }
        if (index >= 0) {
            pending.removeAt(index)
        }
    }

    private fun loadOf(
        pool: PlacementPool,
        input: PlacementInput,
    ): PoolLoad = input.loads.find { it.pool == pool.pool.id } ?: PoolLoad(pool.pool.id)

    private fun serversOf(
        pool: PlacementPool,
        input: PlacementInput,
    ): List<PoolServer> {
        val leaving =
            input.inventory
                .filter { it.state == InventoryServerState.LEAVING }
                .map { it.id }
                .toSet() + drainedSince.keys
        val staticIds =
            pool.pool.servers
                .map { it.id }
                .toSet()
        val static =
            pool.pool.servers
                .filter { it.id !in leaving }
                .map { PoolServer(it.failureDomain, CapacityKind.of(it.cheap), it.id) }
        val listed =
            input.inventory
                .filter { it.pool == pool.pool.id && it.id !in leaving && it.id !in staticIds }
                .map { PoolServer(it.failureDomain, CapacityKind.of(it.cheap), it.id, removable = true) }
        val pendingServers =
            pending
                .filter { it.order.pool == pool.pool.id }
                .map { PoolServer(it.order.domain, it.order.capacity) }
        return static + listed + pendingServers
    }

    private fun shortage(view: PoolView): Double {
        val load = plan.load(view.pool, view.load)
        return (load - view.servers.size) / maxOf(load, 1.0)
    }

    private fun decide(
        view: PoolView,
        input: PlacementInput,
    ): PoolDecision {
        val load = plan.load(view.pool, view.load)
        val wanted = wanted(view, load, settings.targetUtilisation)
        val retained = wanted(view, load, settings.scaleDownUtilisation)
        val displaced = displaced(view, wanted, input.currentDomains)
        val remaining = view.without(displaced)
        val starts = starts(remaining, wanted, input.currentDomains)
        val drains = if (starts.isEmpty()) drains(remaining, wanted, retained, input.currentDomains) else emptyList()
        val present = view.count()
        return PoolDecision(
            pool = view.pool.pool.id,
            load = load,
            wanted = wanted,
            present = present,
            cost = present.ordinary + present.cheap * settings.cheapCost,
            cheapUnavailable = view.pool.pool.cheapAllowed && domainsFor(view.pool, CapacityKind.CHEAP).isEmpty(),
            orders = displaced.map { drain(view.pool, it) } + starts + drains + stops(view.pool, input),
        )
    }

    private fun wanted(
        view: PoolView,
        load: Double,
        utilisation: Double,
    ): WantedServers =
        plan.wanted(
            pool = view.pool,
            load = load,
            durableShare = view.load.durableShare,
            utilisation = utilisation,
            ordinaryDomains = domainsFor(view.pool, CapacityKind.ORDINARY).size,
            cheapLimit = cheapLimit(view),
        )

    /** Limit of cheap servers: the maximum of the pool, or the present number if no domain has any available. */
    private fun cheapLimit(view: PoolView): Int {
        val available = domainsFor(view.pool, CapacityKind.CHEAP).isNotEmpty()
        return if (available) view.pool.pool.maximumServers else view.count().cheap
    }

    private fun domainsFor(
        pool: PlacementPool,
        kind: CapacityKind,
    ): List<FailureDomainId> = pool.domains.filter { availability.canStart(it, kind) }

    /**
     * Cheap servers to drain to make room below the maximum for ordinary servers that durable work needs. They complete
     * their running requests; leaving servers do not count towards the maximum.
     */
    private fun displaced(
        view: PoolView,
        wanted: WantedServers,
        currentDomains: Set<FailureDomainId>,
    ): List<PoolServer> {
        val missing = wanted.ordinary - view.count().ordinary
        val freePlaces = view.pool.pool.maximumServers - view.servers.size
        val canStart = emptiestDomain(view.pool, CapacityKind.ORDINARY, view.servers, currentDomains) != null
        val count = if (canStart) maxOf(missing - freePlaces, 0) else 0
        return view.removalCandidates(CapacityKind.CHEAP, count, currentDomains)
    }

    private fun starts(
        view: PoolView,
        wanted: WantedServers,
        currentDomains: Set<FailureDomainId>,
    ): List<PlannedOrder> {
        val orders = mutableListOf<PlannedOrder>()
        val servers = view.servers.toMutableList()
        for (kind in CapacityKind.entries) {
            while (true) {
                val order = nextStart(view.pool, kind, servers, wanted, currentDomains) ?: break
                orders += order
                servers += PoolServer(order.domain, kind)
                pending += PendingStart(order, clock.markNow())
            }
        }
        return orders
    }

    /**
     * The next start of [kind], null if none is needed or possible. Ordinary servers are also started if too many of
     * them are in one failure domain, but then only in another domain.
     */
    private fun nextStart(
        pool: PlacementPool,
        kind: CapacityKind,
        servers: List<PoolServer>,
        wanted: WantedServers,
        currentDomains: Set<FailureDomainId>,
    ): PlannedOrder? {
        val domain = emptiestDomain(pool, kind, servers, currentDomains) ?: return null
        val byDomain = servers.filter { it.capacity == kind }.groupingBy { it.domain }.eachCount()
        val present = byDomain.values.sum()
        val largest = byDomain.values.maxOrNull() ?: 0
        val concentrated = kind == CapacityKind.ORDINARY && present - largest < wanted.surviving
        val needed = present < wanted.of(kind) || (concentrated && (byDomain[domain] ?: 0) < largest)
        val possible = needed && servers.size < pool.pool.maximumServers && takeTransfer(pool)
        return if (possible) PlannedOrder(domain, ServerOrderKind.START, pool.pool.id, kind) else null
    }

    private fun emptiestDomain(
        pool: PlacementPool,
        kind: CapacityKind,
        servers: List<PoolServer>,
        currentDomains: Set<FailureDomainId>,
    ): FailureDomainId? =
        domainsFor(pool, kind)
            .filter { it in currentDomains }
            .minWithOrNull(
                compareBy<FailureDomainId> { domain ->
                    servers.count { it.domain == domain && it.capacity == kind }
                }.thenBy { domain -> servers.count { it.domain == domain } }
                    .thenBy { it.value },
            )

    private fun takeTransfer(pool: PlacementPool): Boolean = pool.pool.kind != PoolKind.MODEL || transfers.take()

    private fun drains(
        view: PoolView,
        wanted: WantedServers,
        retained: WantedServers,
        currentDomains: Set<FailureDomainId>,
    ): List<PlannedOrder> {
        val present = view.count()
        var excess = present.total - wanted.total
        return CapacityKind.entries.flatMap { kind ->
            val surplus = minOf(present.of(kind) - retained.of(kind), excess)
            val count = lastingSurplus(view.pool.pool.id to kind, surplus)
            val drained = view.removalCandidates(kind, count, currentDomains)
            excess -= drained.size
            drained.map { drain(view.pool, it) }
        }
    }

    /** The minimum of an uninterrupted surplus that has lasted for [PlacementSettings.scaleDownAfter], else 0. */
    private fun lastingSurplus(
        key: Pair<PoolId, CapacityKind>,
        surplus: Int,
    ): Int {
        val now = clock.markNow()
        if (surplus <= 0) {
            surpluses.remove(key)
            return 0
        }
        val previous = surpluses[key] ?: Surplus(now, surplus)
        val lasting = previous.copy(minimum = minOf(previous.minimum, surplus))
        surpluses[key] = lasting
        if (lasting.since + settings.scaleDownAfter > now) {
            return 0
        }
        surpluses.remove(key)
        return lasting.minimum
    }

    private fun drain(
        pool: PlacementPool,
        server: PoolServer,
    ): PlannedOrder {
        server.id?.let { drainedSince[it] = clock.markNow() }
        return PlannedOrder(server.domain, ServerOrderKind.DRAIN, pool.pool.id, server.capacity, server.id)
    }

    private fun stops(
        pool: PlacementPool,
        input: PlacementInput,
    ): List<PlannedOrder> =
        input.inventory
            .filter { it.pool == pool.pool.id && it.failureDomain in input.currentDomains && isDrained(it, pool) }
            .filter { server -> pool.pool.servers.none { it.id == server.id } }
            .filter { stoppedSince.putIfAbsent(it.id, clock.markNow()) == null }
            .map {
                val kind = CapacityKind.of(it.cheap)
                PlannedOrder(it.failureDomain, ServerOrderKind.STOP, pool.pool.id, kind, it.id)
            }

    private fun isDrained(
        server: InventoryServer,
        pool: PlacementPool,
    ): Boolean {
        val since = drainedSince[server.id]
        val leaving = server.state == InventoryServerState.LEAVING && server.leavesInMs == null
        return leaving && since != null && since + pool.drainTime <= clock.markNow()
    }
}
