package io.tarragonport.daemon.gateway.exchange

import io.netty.channel.EventLoop
import io.tarragonport.api.gateway.GatewayService
import io.tarragonport.api.id.ServiceId
import io.tarragonport.api.settings.GatewaySettings
import io.tarragonport.core.gateway.attempt.AttemptPolicy
import io.tarragonport.core.gateway.balance.PromptProfile
import io.tarragonport.core.gateway.balance.ServerSelector
import io.tarragonport.core.gateway.balance.ServerTable
import io.tarragonport.core.gateway.route.ActiveConfiguration
import io.tarragonport.core.gateway.waiting.RequestQueue
import io.tarragonport.core.retry.RetryBudget
import io.tarragonport.daemon.gateway.egress.ConnectionPools
import java.util.concurrent.TimeUnit
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * What the traffic thread knows: the configuration in force, the backend servers with their load and connections, and
 * the requests that wait. The control thread hands new versions over by tasks of the traffic thread.
 */
internal class TrafficState(
    settings: GatewaySettings,
    val loop: EventLoop,
    val clock: TimeSource.WithComparableMarks,
    val log: RequestLog,
    val meter: UsageSink,
) {
    /** The settings in force; retry budgets follow their changes. */
    var settings: GatewaySettings = settings
        set(changed) {
            if (changed.retryRatio != field.retryRatio) budgets.clear()
            field = changed
        }
    var configuration: ActiveConfiguration? = null
    var draining = false

    /** VMs that share the servers' connections and the retry budget, this one included. */
    var liveVms = 1

    val serverTable = ServerTable(clock)
    val selector = ServerSelector(serverTable, settings.failureDomain)
    val prompts = PromptProfile()
    val pools = ConnectionPools(loop, clock)
    val waiting = RequestQueue<Exchange>()
    val crashes = CrashGuard(clock)
    private var polling = false
    private val budgets = HashMap<ServiceId, RetryBudget>()

    fun now(): ComparableTimeMark = clock.markNow()

    fun service(id: ServiceId): GatewayService? = configuration?.services?.get(id)

    /** The retry budget of one service; it is shared evenly among the VMs. */
    fun budget(service: ServiceId): RetryBudget =
        budgets.getOrPut(service) {
            RetryBudget(clock, settings.retryRatio * RETRY_SHARE, leastPerSecond = 0) {
                settings.retrySpare * RETRY_SHARE / liveVms
            }
        }

    fun policy(service: ServiceId): AttemptPolicy = AttemptPolicy { budget(service).tryTake() }

    /** Connections that this VM may have to one server of [service]. */
    fun connectionLimit(service: GatewayService): Int =
        (service.maximumConnections * CONNECTION_SHARE / liveVms).toInt().coerceAtLeast(1)

    /** Adds [exchange] to those that wait for a server; servers that were closed for a moment are looked at again. */
    fun await(exchange: Exchange) {
        waiting.add(exchange, exchange.priority)
        pollWaiting()
    }

    /** Gives waiting requests to servers that can take them, most urgent first. */
    fun dispatchWaiting() {
        if (waiting.size == 0) return
        val full = mutableSetOf<ServiceId>()
        waiting.ordered().forEach { exchange ->
            if (exchange.service !in full && !exchange.dispatchWaiting()) full += exchange.service
        }
    }

    private fun pollWaiting() {
        if (polling || waiting.size == 0) return
        polling = true
        loop.schedule({
            polling = false
            dispatchWaiting()
            pollWaiting()
        }, WAITING_POLL.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private companion object {
        /** Half of the shortest time for which a server is closed. */
        val WAITING_POLL: Duration = 25.milliseconds

        /** Part of the fleet's retry budget that is used, because windows of different VMs do not end together. */
        const val RETRY_SHARE = 0.7

        /** Part of a server's connections that is used; the rest is for health checks and VMs that just joined. */
        const val CONNECTION_SHARE = 0.9
    }
}
