package io.tarragonport.daemon.placement

import io.github.oshai.kotlinlogging.KotlinLogging
import io.tarragonport.api.event.LogEvent
import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.FencingToken
import io.tarragonport.api.id.OrderId
import io.tarragonport.api.id.PoolId
import io.tarragonport.api.id.RegionId
import io.tarragonport.api.id.VmId
import io.tarragonport.api.platform.BackendServerInterface
import io.tarragonport.api.platform.ServerOrder
import io.tarragonport.api.platform.ServerOrderKind
import io.tarragonport.core.placement.CapacityKind
import io.tarragonport.core.placement.PlacementInput
import io.tarragonport.core.placement.PlacementPolicy
import io.tarragonport.core.placement.PlacementPools
import io.tarragonport.core.placement.PlacementSettings
import io.tarragonport.core.placement.PlannedOrder
import io.tarragonport.core.placement.PoolDecision
import io.tarragonport.daemon.configuration.ConfigurationSource
import io.tarragonport.daemon.event.line
import io.tarragonport.daemon.lease.LeaseGuard
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private val logger = KotlinLogging.logger {}

/**
 * Decides about servers and sends the orders while this VM holds the lease `orders/{region}`.
 *
 * Runs on every VM and does nothing without the lease. [orderTimeout] has to be the order timeout of [backend]. Orders
 * without an answer are repeated under the same id and fencing number.
 */
class PlacementLoop(
    private val vm: VmId,
    private val region: RegionId,
    private val domains: List<FailureDomainId>,
    private val backend: BackendServerInterface,
    private val inventory: InventoryPoller,
    private val guard: LeaseGuard,
    private val configuration: ConfigurationSource,
    private val demand: DemandSource,
    private val dispatcher: CoroutineDispatcher,
    private val serverTokensPerSecond: (PoolId) -> Double? = { null },
    private val settings: PlacementSettings = PlacementSettings(),
    private val clock: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    private val orderTimeout: Duration = ORDER_TIMEOUT,
    private val interval: Duration = DECISION_INTERVAL,
) {
    private val sender = OrderSender(backend, guard, orderTimeout)
    private var tenure: Tenure? = null

    /** Runs until the coroutine is cancelled. */
    suspend fun run() =
        withContext(dispatcher) {
            while (true) {
                round()
                delay(interval)
            }
        }

    private suspend fun round() {
        val number = guard.authorize(orderTimeout)
        if (number == null) {
            tenure?.activeSince = clock.markNow()
            return
        }
        val current = tenure?.takeIf { it.number == number } ?: Tenure(number, PlacementPolicy(settings, clock), clock)
        current.resume(clock)
        tenure = current
        if (repeatOutstanding(current)) {
            decide(current)
        }
    }

    private suspend fun decide(tenure: Tenure) {
        val input = input(tenure) ?: return
        val decisions = tenure.policy.decide(input)
        decisions.forEach(::log)
        val orders = decisions.flatMap { it.orders }.map { OutstandingOrder(it, serverOrder(it, tenure)) }
        orders.forEachIndexed { index, order ->
            if (!send(tenure, order)) {
                orders.drop(index + 1).forEach { tenure.policy.onNotSent(it.planned) }
                return
            }
        }
    }

    private suspend fun repeatOutstanding(tenure: Tenure): Boolean {
        val repeated = tenure.outstanding.toList()
        tenure.outstanding.clear()
        repeated.forEachIndexed { index, order ->
            if (!send(tenure, order)) {
                tenure.outstanding += repeated.drop(index + 1)
                return false
            }
        }
        return true
    }

    /** Sends one order; false ends the round because the lease or the interface is not usable now. */
    private suspend fun send(
        tenure: Tenure,
        order: OutstandingOrder,
    ): Boolean {
        val outcome = sender.send(order)
        when (outcome) {
            OrderOutcome.ACCEPTED -> Unit
            OrderOutcome.REJECTED -> rejected(tenure, order.planned)
            OrderOutcome.UNKNOWN -> if (order.sent < REPEATS) tenure.outstanding += order.copy(sent = order.sent + 1)
            OrderOutcome.WITHHELD -> tenure.policy.onNotSent(order.planned)
        }
        return outcome == OrderOutcome.ACCEPTED || outcome == OrderOutcome.REJECTED
    }

    private fun rejected(
        tenure: Tenure,
        order: PlannedOrder,
    ) = if (order.kind == ServerOrderKind.START) tenure.policy.onRejected(order) else tenure.policy.onNotSent(order)

    /** Null while a decision would be made without knowing the servers of a failure domain. */
    private fun input(tenure: Tenure): PlacementInput? {
        val known = inventory.byDomain.value
        val settled = tenure.activeSince.elapsedNow() > DOMAIN_LOST_AFTER
        val unknown = domains.filter { it !in known }
        val snapshot = configuration.current.value
        if (snapshot == null || (unknown.isNotEmpty() && !settled)) {
            event(PlacementEvents.INVENTORY_INCOMPLETE, "$unknown")
            return null
        }
        val lost = known.filterValues { settled && it.readAt.elapsedNow() > DOMAIN_LOST_AFTER }.keys
        lost.forEach { event(PlacementEvents.DOMAIN_LOST, "$it") }
        return PlacementInput(
            pools = PlacementPools.of(snapshot, domains, serverTokensPerSecond),
            loads = demand.loads(),
            inventory = (known - lost).values.flatMap { it.servers },
            currentDomains = known.filterValues { it.readAt.elapsedNow() <= CURRENT_FOR }.keys,
        )
    }

    private fun serverOrder(
        order: PlannedOrder,
        tenure: Tenure,
    ): ServerOrder =
        ServerOrder(
            orderId = OrderId("$region-${tenure.number}-${++tenure.orders}"),
            fencingToken = tenure.number,
            holder = vm,
            kind = order.kind,
            pool = order.pool,
            server = order.server,
            cheap = order.capacity == CapacityKind.CHEAP,
        )

    private fun log(decision: PoolDecision) {
        event(PlacementEvents.DECIDED, "$decision")
        if (decision.cheapUnavailable) {
            event(PlacementEvents.CHEAP_SHORT, "${decision.pool}")
        }
    }

    private fun event(
        event: LogEvent,
        text: String,
    ) = logger.info { event.line(text) }

    /** What is remembered while the lease is held under one fencing number. */
    private class Tenure(
        val number: FencingToken,
        val policy: PlacementPolicy,
        clock: TimeSource.WithComparableMarks,
    ) {
        val outstanding = mutableListOf<OutstandingOrder>()
        var activeSince = clock.markNow()
        var orders = 0
        private var lastRound = clock.markNow()

        /** A round that comes late follows a pause, in which inventories became old without a domain being lost. */
        fun resume(clock: TimeSource.WithComparableMarks) {
            if (lastRound.elapsedNow() > ROUND_LATE_AFTER) {
                activeSince = clock.markNow()
            }
            lastRound = clock.markNow()
        }
    }

    companion object {
        /** Longest time that an order is under way; the lease has to be valid for this long when it is sent. */
        val ORDER_TIMEOUT: Duration = 3.seconds
        val DECISION_INTERVAL: Duration = 5.seconds

        /** Age up to which an inventory is good enough for orders in its failure domain. */
        val CURRENT_FOR: Duration = 10.seconds

        /**
         * Silence after which the servers of a failure domain no longer count, if the lease was usable all that time.
         * An outage of the whole platform therefore does not look like the loss of all domains.
         */
        val DOMAIN_LOST_AFTER: Duration = 120.seconds

        /** Orders of one round may each take their timeout; a longer silence of the loop is a pause. */
        private val ROUND_LATE_AFTER: Duration = 30.seconds

        /** How often an order without an answer is repeated; after that the inventory decides. */
        private const val REPEATS = 5
    }
}
