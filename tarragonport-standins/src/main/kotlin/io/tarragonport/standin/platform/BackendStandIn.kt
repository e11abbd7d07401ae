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
 * Backend server inventory and orders by failure domain.
 *
 * Every order is recorded, refused ones included. The highest fencing number is kept per failure domain because leases
 * are per region. A repeated order id is answered as before without another effect.
 */
class BackendStandIn(
    private val file: InventoryFile,
    private val clock: TimeSource.WithComparableMarks,
) {
    private val start = clock.markNow()
    private val servers = file.servers.map { HeldServer(it, start, start) }.toMutableList()
    private val highest = mutableMapOf<FailureDomainId, FencingToken>()
    private val answered = mutableMapOf<OrderId, Int>()
    private val received = mutableListOf<ReceivedOrder>()
    private val closedSpares = mutableSetOf<SpareServer>()
    private var startedCount = 0

    /** The inventory of [domain] as it was [lag] ago. */
    @Synchronized
    fun servers(
        domain: FailureDomainId,
        lag: Duration,
    ): List<InventoryServer> {
        val at = maxOf(start, clock.markNow() - lag)
        return servers
            .filter { it.failureDomain == domain }
            .mapNotNull { it.listing(at) }
    }

    /** Handles an order and returns the status of the answer. */
    @Synchronized
    fun order(
        domain: FailureDomainId,
        order: ServerOrder,
    ): Int {
        val status = decide(domain, order)
        received += ReceivedOrder(start.elapsedNow().inWholeMilliseconds, domain, order, status)
        return status
    }

    /** Announces that servers of a failure domain will be taken away, and takes them away after the notice. */
    @Synchronized
    fun reclaim(request: ReclaimRequest) {
        val now = clock.markNow()
        val taken = servers.filter { it.failureDomain == request.failureDomain && (it.cheap || !request.cheapOnly) }
        taken.forEach {
            it.giveNotice(now)
            it.endAt(now + request.noticeMs.milliseconds)
        }
        if (request.sparesToo) {
            closedSpares +=
                file.spares.filter { it.failureDomain == request.failureDomain && (it.cheap || !request.cheapOnly) }
        }
    }

    @Synchronized
    fun restore(request: RestoreRequest) {
        closedSpares.removeIf { it.failureDomain == request.failureDomain }
    }

    @Synchronized
    fun received(): List<ReceivedOrder> = received.toList()

    private fun decide(
        domain: FailureDomainId,
        order: ServerOrder,
    ): Int {
        val known = highest[domain]
        if (known != null && order.fencingToken < known && file.checksFencing) {
            return STALE
        }
        highest[domain] = maxOf(known ?: order.fencingToken, order.fencingToken)
        return answered.getOrPut(order.orderId) { carryOut(domain, order) }
    }

    private fun carryOut(
        domain: FailureDomainId,
        order: ServerOrder,
    ): Int =
        when (order.kind) {
            ServerOrderKind.START -> startServer(domain, order)
            ServerOrderKind.DRAIN -> change(domain, order) { it.giveNotice(clock.markNow()) }
            ServerOrderKind.STOP -> change(domain, order) { it.endAt(clock.markNow()) }
        }

    private fun startServer(
        domain: FailureDomainId,
        order: ServerOrder,
    ): Int {
        val now = clock.markNow()
        val taken = servers.filter { it.present(now) }.mapNotNull { it.startedFrom }.toSet()
        val spare =
            file.spares.find {
                it.failureDomain == domain && it.cheap == order.cheap && it !in taken && it !in closedSpares
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
        servers += HeldServer(server, now, now + file.startDelayMs.milliseconds, spare)
        return ACCEPTED
    }

    private fun change(
        domain: FailureDomainId,
        order: ServerOrder,
        effect: (HeldServer) -> Unit,
    ): Int {
        val now = clock.markNow()
        val server =
            servers.find { it.failureDomain == domain && it.id == order.server && it.present(now) } ?: return UNKNOWN
        effect(server)
        return ACCEPTED
    }

    companion object {
        const val ACCEPTED = 202
        const val UNKNOWN = 404
        const val STALE = 409

        /** No server of the kind asked for can be had in the failure domain. */
        const val NONE_AVAILABLE = 422
    }
}
