package io.tarragonport.daemon.gateway.control

import io.tarragonport.api.gateway.DutyInterface
import io.tarragonport.api.gateway.GatewayService
import io.tarragonport.api.gateway.RegisteredServer
import io.tarragonport.api.gateway.ScalingLimits
import io.tarragonport.api.gateway.ServerCountOrder
import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.ServiceId
import io.tarragonport.api.id.VmId
import io.tarragonport.core.gateway.fleet.VmRecordTable
import io.tarragonport.core.gateway.scaling.DomainServers
import io.tarragonport.core.gateway.scaling.EngineCountEstimator
import io.tarragonport.core.gateway.scaling.ServerPlan
import io.tarragonport.daemon.gateway.exchange.GatewayEvents
import io.tarragonport.daemon.lease.LeaseGuard
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Orders the number of servers of each scaled service from the platform.
 *
 * An order is sent when the number changes, and repeated if the servers have not registered within their start time.
 */
internal class ScalingDuty(
    private val vm: VmId,
    private val duties: DutyInterface,
    private val lease: LeaseGuard,
    private val recordTable: VmRecordTable,
    private val baselines: ScalingBaselines,
    private val clock: TimeSource.WithComparableMarks,
    private val orderTimeout: Duration,
    private val log: ControlLog,
) {
    private class PlacedOrder(
        val count: Int,
        val at: ComparableTimeMark,
        val accepted: Boolean,
    )

    private class Plan(
        val limits: ScalingLimits,
        val plan: ServerPlan,
        val estimator: EngineCountEstimator,
    )

    private val started = clock.markNow()
    private val plans = mutableMapOf<ServiceId, Plan>()
    private val placedOrders = mutableMapOf<ServerCountOrder, PlacedOrder>()

    /** Compares the number of running servers with the number needed, and places orders where they differ. */
    suspend fun run(
        services: Collection<GatewayService>,
        servers: Collection<RegisteredServer>,
        domains: Collection<FailureDomainId>,
    ) = services.forEach { service ->
        service.scaling?.let { limits ->
            adjust(service.id, limits, servers.filter { it.service == service.id }, domains)
        }
    }

    /** Clears all state when the lease is lost, because another VM may place orders before it is regained. */
    fun reset() {
        placedOrders.clear()
        plans.clear()
    }

    private suspend fun adjust(
        service: ServiceId,
        limits: ScalingLimits,
        servers: List<RegisteredServer>,
        domains: Collection<FailureDomainId>,
    ) {
        val current = plans[service]?.takeIf { it.limits == limits }
        val present = servers.count { !it.leaving }
        if (started.elapsedNow() < OBSERVATION_PERIOD || present == 0) return
        val baseline = baselines.of(service, present) ?: return
        val plan =
            current
                ?: Plan(limits, ServerPlan(limits, baseline, clock), EngineCountEstimator(clock))
                    .also { plans[service] = it }
        val needed = plan.estimator.update(recordTable.demand(service))
        val serving = domains.map { domain -> count(domain, servers) }
        val wanted = plan.plan.wanted(needed, serving)
        serving.forEach { domainServers ->
            val counts = wanted.getValue(domainServers.domain)
            order(
                ServerCountOrder(service, domainServers.domain, true, counts.cheap),
                domainServers.cheap,
                needed,
                plan,
            )
            order(
                ServerCountOrder(service, domainServers.domain, false, counts.ordinary),
                domainServers.ordinary,
                needed,
                plan,
            )
        }
    }

    private fun count(
        domain: FailureDomainId,
        servers: List<RegisteredServer>,
    ): DomainServers {
        val domainServers = servers.filter { it.domain == domain && !it.leaving }
        return DomainServers(domain, domainServers.count { !it.cheap }, domainServers.count { it.cheap })
    }

    private suspend fun order(
        order: ServerCountOrder,
        present: Int,
        needed: Int,
        plan: Plan,
    ) {
        val key = order.copy(count = 0)
        val before = placedOrders[key]
        val unchanged = before != null && before.count == order.count
        val retryAfter = if (before?.accepted == false) REFUSED_RETRY else plan.limits.startTime + START_MARGIN
        val inTime = before != null && before.at.elapsedNow() < retryAfter
        if ((present == order.count && (before == null || unchanged)) || (unchanged && inTime)) return
        val fencing = lease.authorize(orderTimeout) ?: return
        val result = duties.order(vm, fencing, order)
        placedOrders[key] = PlacedOrder(order.count, clock.markNow(), result.isRight())
        result.fold(
            { error ->
                log.event(GatewayEvents.ORDER_FAILED, "order" to order, "present" to present, "error" to error)
            },
            { log.event(GatewayEvents.SERVERS_ORDERED, "order" to order, "present" to present, "needed" to needed) },
        )
    }

    private companion object {
        /** Time from a server's start to the arrival of its registration on this VM. */
        val START_MARGIN: Duration = 4.seconds

        /** Cheap servers remain unavailable for several seconds; a repeated order costs one call. */
        val REFUSED_RETRY: Duration = 2.5.seconds

        /**
         * Servers that start together with this system register within five seconds, before the first order is placed.
         */
        val OBSERVATION_PERIOD: Duration = 6.seconds
    }
}
