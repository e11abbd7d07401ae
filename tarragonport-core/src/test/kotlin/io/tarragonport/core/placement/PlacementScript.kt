package io.tarragonport.core.placement

import io.tarragonport.api.configuration.Pool
import io.tarragonport.api.configuration.PoolKind
import io.tarragonport.api.configuration.StaticServer
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.PoolId
import io.tarragonport.api.platform.InventoryServer
import io.tarragonport.api.platform.InventoryServerState
import io.tarragonport.api.platform.ServerOrderKind
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/**
 * Placement of pools over the failure domains a, b and c with a test clock and an inventory to which orders are
 * applied.
 */
class PlacementScript(
    settings: PlacementSettings = PlacementSettings(),
) {
    private val clock = TestTimeSource()
    private val policy = PlacementPolicy(settings, clock)
    private val domains = listOf("a", "b", "c").map(::FailureDomainId)
    private val pools = mutableMapOf<String, PlacementPool>()
    private val loads = mutableMapOf<String, PoolLoad>()
    private var started = 0
    val inventory = mutableListOf<InventoryServer>()
    var currentDomains = domains.toSet()
    var decisions: List<PoolDecision> = emptyList()
        private set

    /** Declares a pool with one slot per server, so a load of n requests needs n servers. */
    fun pool(
        name: String = "p",
        minimum: Int = 0,
        maximum: Int = 20,
        cheap: Boolean = false,
        kind: PoolKind = PoolKind.MODEL,
        tokensPerSecond: Double? = null,
        static: List<String> = emptyList(),
    ) {
        val pool =
            Pool(
                id = PoolId(name),
                kind = kind,
                name = name,
                slots = 1,
                servers = static.map { StaticServer(BackendServerId(it), "http://127.0.0.1:1", domains.first()) },
                minimumServers = minimum,
                maximumServers = maximum,
                cheapAllowed = cheap,
            )
        pools[name] = PlacementPool(pool, domains, 30.seconds, tokensPerSecond)
    }

    fun load(
        running: Int,
        durable: Double = 0.0,
        name: String = "p",
        tokens: Double = 0.0,
    ) {
        loads[name] = PoolLoad(PoolId(name), tokensPerSecond = tokens, running = running, durableShare = durable)
    }

    fun advance(duration: Duration) {
        clock += duration
    }

    /** Adds servers to the inventory: `a a b+` are two ordinary servers in a and a cheap one in b. */
    fun servers(
        text: String,
        name: String = "p",
    ) {
        text.split(' ').forEach { add(it.take(1), it.endsWith('+'), name) }
    }

    /** Adds a reclaim notice to all cheap servers of [domain]. */
    fun reclaim(domain: String) {
        inventory.replaceAll {
            val reclaimed = it.cheap && it.failureDomain.value == domain
            if (reclaimed) it.copy(state = InventoryServerState.LEAVING, leavesInMs = 5_000) else it
        }
    }

    /** Runs one decision and returns its orders. */
    fun decide(): List<PlannedOrder> {
        decisions =
            policy.decide(PlacementInput(pools.values.toList(), loads.values.toList(), inventory, currentDomains))
        return decisions.flatMap { it.orders }
    }

    /**
     * Runs one decision and checks its orders, sorted and as text such as `start a`, `start b+`, `drain a`, `stop a`.
     * Applies them to the inventory unless [notApplied] or [rejected].
     */
    fun expect(
        orders: String,
        notApplied: Boolean = false,
        rejected: Boolean = false,
    ) {
        val decided = decide()
        assertEquals(orders, decided.map(::describe).sorted().joinToString(", "))
        when {
            rejected -> decided.forEach(policy::onRejected)
            !notApplied -> decided.forEach(::applyOrder)
        }
    }

    fun applyOrder(order: PlannedOrder) {
        val index = inventory.indexOfFirst { it.id == order.server }
        when (order.kind) {
            ServerOrderKind.START -> {
                add(order.domain.value, order.capacity == CapacityKind.CHEAP, order.pool.value)
            }

            ServerOrderKind.DRAIN -> {
                inventory[index] = inventory[index].copy(state = InventoryServerState.LEAVING)
            }

            ServerOrderKind.STOP -> {
                inventory.removeAt(index)
            }
        }
    }

    private fun describe(order: PlannedOrder): String {
        val cheap = if (order.capacity == CapacityKind.CHEAP) "+" else ""
        return "${order.kind.name.lowercase()} ${order.domain}$cheap"
    }

    private fun add(
        domain: String,
        cheap: Boolean,
        name: String,
    ) {
        started += 1
        inventory +=
            InventoryServer(
                id = BackendServerId("s%03d".format(started)),
                address = "http://127.0.0.1:$started",
                pool = PoolId(name),
                failureDomain = FailureDomainId(domain),
                cheap = cheap,
            )
    }
}
