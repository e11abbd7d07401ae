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
 * Orders numbers of servers for the services that are scaled.
 *
 * An order is sent when the number changes, and again when the servers have not come within their start time.
 */
internal class ScalingDuty(
    private val vm: VmId,
    private val duties: DutyInterface,
    private val lease: LeaseGuard,
    private val view: VmRecordTable,
    private val baselines: ScalingBaselines,
    private val clock: TimeSource.WithComparableMarks,
    private val orderTimeout: Duration,
    private val log: ControlLog,
) {
    private class Sent(
        val count: Int,
        val at: ComparableTimeMark,
        val accepted: Boolean,
    )

    private class Plan(
        val limits: ScalingLimits,
        val plan: ServerPlan,
        val need: EngineCountEstimator,
    )

    private val started = clock.markNow()
    private val plans = mutableMapOf<ServiceId, Plan>()
    private val sent = mutableMapOf<ServerCountOrder, Sent>()

    /** Compares what serves with what is needed, and orders the difference. */
    suspend fun run(
        services: Collection<GatewayService>,
        servers: Collection<RegisteredServer>,
        domains: Collection<FailureDomainId>,
    ) = services.forEach { service ->
        service.scaling?.let { limits ->
            adjust(service.id, limits, servers.filter { it.service == service.id }, domains)
        }
    }

    /** Forgets what was ordered: another VM may order in between. */
    fun lost() {
        sent.clear()
        plans.clear()
    }

    private suspend fun adjust(
        service: ServiceId,
        limits: ScalingLimits,
        servers: List<RegisteredServer>,
        domains: Collection<FailureDomainId>,
    ) {
        val known = plans[service]?.takeIf { it.limits == limits }
        val present = servers.count { !it.leaving }
        if (started.elapsedNow() < OBSERVED_BEFORE_ORDERS || present == 0) return
        val baseline = baselines.of(service, present) ?: return
        val plan =
            known
                ?: Plan(limits, ServerPlan(limits, baseline, clock), EngineCountEstimator(clock)).also {
                    plans[service] =
                        it
                }
        val needed = plan.need.update(view.demand(service))
        val serving = domains.map { domain -> count(domain, servers) }
        val wanted = plan.plan.wanted(needed, serving)
        serving.forEach { there ->
            val counts = wanted.getValue(there.domain)
            order(ServerCountOrder(service, there.domain, true, counts.cheap), there.cheap, needed, plan)
            order(ServerCountOrder(service, there.domain, false, counts.ordinary), there.ordinary, needed, plan)
        }
    }

    private fun count(
        domain: FailureDomainId,
        servers: List<RegisteredServer>,
    ): DomainServers {
        val there = servers.filter { it.domain == domain && !it.leaving }
        return DomainServers(domain, there.count { !it.cheap }, there.count { it.cheap })
    }

    private suspend fun order(
        order: ServerCountOrder,
        present: Int,
        needed: Int,
        plan: Plan,
    ) {
        val key = order.copy(count = 0)
        val before = sent[key]
        val unchanged = before != null && before.count == order.count
        val patience = if (before?.accepted == false) REPEAT_REFUSED else plan.limits.startTime + ARRIVAL_SLACK
        val inTime = before != null && before.at.elapsedNow() < patience
        if ((present == order.count && (before == null || unchanged)) || (unchanged && inTime)) return
        val fencing = lease.authorize(orderTimeout) ?: return
        val result = duties.order(vm, fencing, order)
        sent[key] = Sent(order.count, clock.markNow(), result.isRight())
        result.fold(
            { error ->
                log.event(GatewayEvents.ORDER_FAILED, "order" to order, "present" to present, "error" to error)
            },
            { log.event(GatewayEvents.SERVERS_ORDERED, "order" to order, "present" to present, "needed" to needed) },
        )
    }

    private companion object {
        /** Time after the start time of a server until it is registered and known here. */
        val ARRIVAL_SLACK: Duration = 4.seconds

        /** Cheap servers that cannot be had stay away for several seconds; asking again costs one call. */
        val REPEAT_REFUSED: Duration = 2.5.seconds

        /** Servers that start together with this system register within five seconds. */
        val OBSERVED_BEFORE_ORDERS: Duration = 6.seconds
    }
}
