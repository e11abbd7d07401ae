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
        val placedAt: ComparableTimeMark,
        val accepted: Boolean,
    )

    private class ScaledService(
        val limits: ScalingLimits,
        val serverPlan: ServerPlan,
        val estimator: EngineCountEstimator,
    )

    private val started = clock.markNow()
    private val scaledServices = mutableMapOf<ServiceId, ScaledService>()
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
        scaledServices.clear()
    }

    private suspend fun adjust(
        service: ServiceId,
        limits: ScalingLimits,
        servers: List<RegisteredServer>,
        domains: Collection<FailureDomainId>,
    ) {
        val current = scaledServices[service]?.takeIf { it.limits == limits }
        val present = servers.count { !it.leaving }
        if (started.elapsedNow() < OBSERVATION_PERIOD || present == 0) return
        val baseline = baselines.of(service, present) ?: return
        val scaled =
            current
                ?: ScaledService(limits, ServerPlan(limits, baseline, clock), EngineCountEstimator(clock))
                    .also { scaledServices[service] = it }
        val needed = scaled.estimator.update(recordTable.demand(service))
        val currentCounts = domains.map { domain -> countServers(domain, servers) }
        val wanted = scaled.serverPlan.wanted(needed, currentCounts)
        currentCounts.forEach { domainServers ->
            val counts = wanted.getValue(domainServers.domain)
            order(
                ServerCountOrder(service, domainServers.domain, true, counts.cheap),
                domainServers.cheap,
                needed,
                scaled,
            )
            order(
                ServerCountOrder(service, domainServers.domain, false, counts.ordinary),
                domainServers.ordinary,
                needed,
                scaled,
            )
        }
    }

    private fun countServers(
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
        scaled: ScaledService,
    ) {
        val key = order.copy(count = 0)
        val previous = placedOrders[key]
        val unchanged = previous != null && previous.count == order.count
        val retryDelay =
            if (previous?.accepted == false) REFUSED_RETRY_DELAY else scaled.limits.startTime + START_MARGIN
        val withinRetryDelay = previous != null && previous.placedAt.elapsedNow() < retryDelay
        if ((present == order.count && (previous == null || unchanged)) || (unchanged && withinRetryDelay)) return
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
        /** Time after a server's start until its registration arrives on this VM. */
        val START_MARGIN: Duration = 4.seconds

        /** Cheap servers remain unavailable for several seconds; each repeated order costs one call. */
        val REFUSED_RETRY_DELAY: Duration = 2.5.seconds

        /**
         * Servers that start together with this system register within five seconds, before the first order is placed.
         */
        val OBSERVATION_PERIOD: Duration = 6.seconds
    }
}
