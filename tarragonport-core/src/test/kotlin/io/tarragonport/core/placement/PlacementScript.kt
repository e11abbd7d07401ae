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

/** Placement of pools over the failure domains a, b and c on a paused clock, with an inventory that follows orders. */
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

    fun pass(duration: Duration) {
        clock += duration
    }

    /** Puts servers into the inventory: `a a b+` are two ordinary ones in a and a cheap one in b. */
    fun servers(
        text: String,
        name: String = "p",
    ) {
        text.split(' ').forEach { add(it.take(1), it.endsWith('+'), name) }
    }

    /** Gives notice to all cheap servers of [domain]. */
    fun reclaim(domain: String) {
        inventory.replaceAll {
            val taken = it.cheap && it.failureDomain.value == domain
            if (taken) it.copy(state = InventoryServerState.LEAVING, leavesInMs = 5_000) else it
        }
    }

    /** Decides and shows the orders as text, for example `start a`, `start b+`, `drain a`, `stop a`. */
    fun decide(): List<PlannedOrder> {
        decisions =
            policy.decide(PlacementInput(pools.values.toList(), loads.values.toList(), inventory, currentDomains))
        return decisions.flatMap { it.orders }
    }

    /** Decides, checks the orders (sorted) and carries them out in the inventory unless they are [unseen]. */
    fun expect(
        orders: String,
        unseen: Boolean = false,
        rejected: Boolean = false,
    ) {
        val decided = decide()
        assertEquals(orders, decided.map(::show).sorted().joinToString(", "))
        when {
            rejected -> decided.forEach(policy::onRejected)
            !unseen -> decided.forEach(::carryOut)
        }
    }

    fun carryOut(order: PlannedOrder) {
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

    private fun show(order: PlannedOrder): String {
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
