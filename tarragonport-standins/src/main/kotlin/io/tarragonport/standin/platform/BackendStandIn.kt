package io.tarragonport.standin.platform

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.FencingToken
import io.tarragonport.api.id.OrderId
import io.tarragonport.api.platform.InventoryServer
import io.tarragonport.api.platform.ServerOrder
import io.tarragonport.api.platform.ServerOrderKind
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * The platform's inventory of backend servers and the orders that change it, by failure domain.
 *
 * [received] returns every order, including rejected ones. The highest fencing token is tracked per failure domain
 * because leases are per region. A repeated order id gets the same status as the first time and has no further effect.
 */
class BackendStandIn(
    private val inventory: InventoryFile,
    private val clock: TimeSource.WithComparableMarks,
) {
    private val start = clock.markNow()
    private val servers = inventory.servers.map { ServerHistory(it, start, start) }.toMutableList()
    private val highestTokens = mutableMapOf<FailureDomainId, FencingToken>()
    private val statusByOrder = mutableMapOf<OrderId, Int>()
    private val received = mutableListOf<ReceivedServerOrder>()
    private val unavailableSpares = mutableSetOf<SpareServer>()
    private var startedCount = 0

    /** The inventory of [domain] as it was [lag] ago. */
    @Synchronized
    fun servers(
        domain: FailureDomainId,
        lag: Duration,
    ): List<InventoryServer> {
        val time = maxOf(start, clock.markNow() - lag)
        return servers
            .filter { it.failureDomain == domain }
            .mapNotNull { it.entryAt(time) }
    }

    /** Handles an order and returns the status of the response. */
    @Synchronized
    fun order(
        domain: FailureDomainId,
        order: ServerOrder,
    ): Int {
        val status = decide(domain, order)
        received += ReceivedServerOrder(start.elapsedNow().inWholeMilliseconds, domain, order, status)
        return status
    }

    /** Announces the removal of servers of a failure domain and removes them after the notice period. */
    @Synchronized
    fun reclaim(request: ReclaimRequest) {
        val now = clock.markNow()
        val reclaimed = servers.filter { it.failureDomain == request.failureDomain && (it.cheap || !request.cheapOnly) }
        reclaimed.forEach {
            it.announceRemoval(now)
            it.removeAt(now + request.noticeMs.milliseconds)
        }
        if (request.sparesToo) {
            unavailableSpares +=
                inventory.spares.filter {
                    it.failureDomain == request.failureDomain && (it.cheap || !request.cheapOnly)
                }
        }
    }

    @Synchronized
    fun restore(request: RestoreRequest) {
        unavailableSpares.removeIf { it.failureDomain == request.failureDomain }
    }

    @Synchronized
    fun received(): List<ReceivedServerOrder> = received.toList()

    private fun decide(
        domain: FailureDomainId,
        order: ServerOrder,
    ): Int {
        val highestToken = highestTokens[domain]
        if (highestToken != null && order.fencingToken < highestToken && inventory.checksFencing) {
            return STALE
        }
        highestTokens[domain] = maxOf(highestToken ?: order.fencingToken, order.fencingToken)
        return statusByOrder.getOrPut(order.orderId) { execute(domain, order) }
    }

    private fun execute(
        domain: FailureDomainId,
        order: ServerOrder,
    ): Int =
        when (order.kind) {
            ServerOrderKind.START -> startServer(domain, order)
            ServerOrderKind.DRAIN -> change(domain, order) { it.announceRemoval(clock.markNow()) }
            ServerOrderKind.STOP -> change(domain, order) { it.removeAt(clock.markNow()) }
        }

    private fun startServer(
        domain: FailureDomainId,
        order: ServerOrder,
    ): Int {
        val now = clock.markNow()
        val occupiedSpares = servers.filter { it.isListed(now) }.mapNotNull { it.startedFrom }.toSet()
        val spare =
            inventory.spares.find {
                it.failureDomain == domain &&
                    it.cheap == order.cheap &&
                    it !in occupiedSpares &&
                    it !in unavailableSpares
            } ?: return NONE_AVAILABLE
        startedCount += 1
        val server =
            InventoryServer(
                id = BackendServerId("$domain-started-$startedCount"),
                address = spare.address,
                pool = order.pool,
                failureDomain = domain,
                cheap = spare.cheap,
                checksFencing = spare.checksFencing,
            )
        servers += ServerHistory(server, now, now + inventory.startDelayMs.milliseconds, spare)
        return ACCEPTED
    }

    private fun change(
        domain: FailureDomainId,
        order: ServerOrder,
        effect: (ServerHistory) -> Unit,
    ): Int {
        val now = clock.markNow()
        val server =
            servers.find { it.failureDomain == domain && it.id == order.server && it.isListed(now) } ?: return UNKNOWN
        effect(server)
        return ACCEPTED
    }

    companion object {
        const val ACCEPTED = 202

        /** The failure domain has no server with the id of the order. */
        const val UNKNOWN = 404

        /** The fencing token is lower than one received earlier for the failure domain. */
        const val STALE = 409

        /** The failure domain has no spare server of the requested kind. */
        const val NONE_AVAILABLE = 422
    }
}
