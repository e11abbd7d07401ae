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
 * Decides how many servers each pool needs and sends the orders while this VM holds the lease `orders/{region}`.
 *
 * Runs on every VM and does nothing without the lease. [orderTimeout] must equal the order timeout of [backend]. Orders
 * without a response are retried with the same id and fencing token.
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
    private var term: LeaseTerm? = null

    /** Runs until the coroutine is cancelled. */
    suspend fun run() =
        withContext(dispatcher) {
            while (true) {
                runRound()
                delay(interval)
            }
        }

    private suspend fun runRound() {
        val token = guard.authorize(orderTimeout)
        if (token == null) {
            term?.activeSince = clock.markNow()
            return
        }
        val current = term?.takeIf { it.token == token } ?: LeaseTerm(token, PlacementPolicy(settings, clock), clock)
        current.resume(clock)
        term = current
        if (retryOutstanding(current)) {
            decide(current)
        }
    }

    private suspend fun decide(term: LeaseTerm) {
        val input = input(term) ?: return
        val decisions = term.policy.decide(input)
        decisions.forEach(::log)
        val orders = decisions.flatMap { it.orders }.map { OutstandingOrder(it, serverOrder(it, term)) }
        orders.forEachIndexed { index, order ->
            if (!send(term, order)) {
                orders.drop(index + 1).forEach { term.policy.onNotSent(it.planned) }
                return
            }
        }
    }

    private suspend fun retryOutstanding(term: LeaseTerm): Boolean {
        val retried = term.outstanding.toList()
        term.outstanding.clear()
        retried.forEachIndexed { index, order ->
            if (!send(term, order)) {
                term.outstanding += retried.drop(index + 1)
                return false
            }
        }
        return true
    }

    /** Sends one order; returns false if the round must end because the lease or the interface is not usable. */
    private suspend fun send(
        term: LeaseTerm,
        order: OutstandingOrder,
    ): Boolean {
        val outcome = sender.send(order)
        when (outcome) {
            OrderOutcome.ACCEPTED -> Unit
            OrderOutcome.REJECTED -> handleRejection(term, order.planned)
            OrderOutcome.UNKNOWN ->
                if (order.retries < MAXIMUM_RETRIES) term.outstanding += order.copy(retries = order.retries + 1)
            OrderOutcome.WITHHELD -> term.policy.onNotSent(order.planned)
        }
        return outcome == OrderOutcome.ACCEPTED || outcome == OrderOutcome.REJECTED
    }

    private fun handleRejection(
        term: LeaseTerm,
        order: PlannedOrder,
    ) = if (order.kind == ServerOrderKind.START) term.policy.onRejected(order) else term.policy.onNotSent(order)

    /**
     * Returns null while the configuration or the inventory of a failure domain is missing. Domains that have not
     * responded for [DOMAIN_LOSS_TIMEOUT] are not waited for.
     */
    private fun input(term: LeaseTerm): PlacementInput? {
        val inventories = inventory.byDomain.value
        val activeLongEnough = term.activeSince.elapsedNow() > DOMAIN_LOSS_TIMEOUT
        val missing = domains.filter { it !in inventories }
        val snapshot = configuration.current.value
        if (snapshot == null || (missing.isNotEmpty() && !activeLongEnough)) {
            logEvent(PlacementEvents.INVENTORY_INCOMPLETE, "$missing")
            return null
        }
        val lost = inventories.filterValues { activeLongEnough && it.readAt.elapsedNow() > DOMAIN_LOSS_TIMEOUT }.keys
        lost.forEach { logEvent(PlacementEvents.DOMAIN_LOST, "$it") }
        return PlacementInput(
            pools = PlacementPools.of(snapshot, domains, serverTokensPerSecond),
            loads = demand.loads(),
            inventory = (inventories - lost).values.flatMap { it.servers },
            currentDomains = inventories.filterValues { it.readAt.elapsedNow() <= MAXIMUM_INVENTORY_AGE }.keys,
        )
    }

    private fun serverOrder(
        order: PlannedOrder,
        term: LeaseTerm,
    ): ServerOrder =
        ServerOrder(
            orderId = OrderId("$region-${term.token}-${++term.orderCount}"),
            fencingToken = term.token,
            holder = vm,
            kind = order.kind,
            pool = order.pool,
            server = order.server,
            cheap = order.capacity == CapacityKind.CHEAP,
        )

    private fun log(decision: PoolDecision) {
        logEvent(PlacementEvents.DECIDED, "$decision")
        if (decision.cheapUnavailable) {
            logEvent(PlacementEvents.CHEAP_UNAVAILABLE, "${decision.pool}")
        }
    }

    private fun logEvent(
        event: LogEvent,
        text: String,
    ) = logger.info { event.line(text) }

    /** State kept while this VM holds the lease under one fencing token. */
    private class LeaseTerm(
        val token: FencingToken,
        val policy: PlacementPolicy,
        clock: TimeSource.WithComparableMarks,
    ) {
        val outstanding = mutableListOf<OutstandingOrder>()

        /** Start of the period in which the lease has been valid and this process has not been paused. */
        var activeSince = clock.markNow()
        var orderCount = 0
        private var lastRound = clock.markNow()

        /** Resets [activeSince] after a pause, during which inventories became stale although no domain was lost. */
        fun resume(clock: TimeSource.WithComparableMarks) {
            if (lastRound.elapsedNow() > PAUSE_THRESHOLD) {
                activeSince = clock.markNow()
            }
            lastRound = clock.markNow()
        }
    }

    companion object {
        /** Longest time that an order can be in flight; the lease must remain valid for this long when it is sent. */
        val ORDER_TIMEOUT: Duration = 3.seconds
        val DECISION_INTERVAL: Duration = 5.seconds

        /** Maximum age of an inventory for orders in its failure domain. */
        val MAXIMUM_INVENTORY_AGE: Duration = 10.seconds

        /**
         * Time without a response after which the servers of a failure domain are no longer counted, provided that the
         * lease was usable throughout. An outage of the whole platform is therefore not taken for the loss of all
         * domains.
         */
        val DOMAIN_LOSS_TIMEOUT: Duration = 120.seconds

        /** Gap between rounds above which the process was paused; a round is long if its orders time out one by one. */
        private val PAUSE_THRESHOLD: Duration = 30.seconds

        /** Retries of an order without a response; after that, only the inventory shows whether it took effect. */
        private const val MAXIMUM_RETRIES = 5
    }
}
