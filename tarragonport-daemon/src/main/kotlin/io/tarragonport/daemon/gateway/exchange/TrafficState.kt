package io.tarragonport.daemon.gateway.exchange

import io.netty.channel.EventLoop
import io.tarragonport.api.gateway.GatewayService
import io.tarragonport.api.id.ServiceId
import io.tarragonport.api.settings.GatewaySettings
import io.tarragonport.core.gateway.attempt.AttemptPolicy
import io.tarragonport.core.gateway.balance.PromptProfile
import io.tarragonport.core.gateway.balance.ServerSelector
import io.tarragonport.core.gateway.balance.ServerTable
import io.tarragonport.core.gateway.overload.ArrivalClock
import io.tarragonport.core.gateway.overload.BufferBudget
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
 * State of the traffic thread: the active configuration, the backend servers with their load and connections, and the
 * queued requests. The control thread submits updates as tasks on the traffic thread.
 */
internal class TrafficState(
    settings: GatewaySettings,
    val loop: EventLoop,
    val clock: TimeSource.WithComparableMarks,
    val log: RequestLog,
    val usage: UsageRecorder,
    crashSharing: CrashSharing,
) {
    /** The active settings; a changed retry ratio resets the retry budgets. */
    var settings: GatewaySettings = settings
        set(changed) {
            if (changed.retryRatio != field.retryRatio) budgets.clear()
            field = changed
        }
    var configuration: ActiveConfiguration? = null
    var draining = false

    /** When the process ends; null until it accepts no more connections. */
    var endsAt: ComparableTimeMark? = null

    /** Number of VMs that share the servers' connections and the retry budget, including this one. */
    var liveVms = 1

    val serverTable = ServerTable(clock)
    val selector = ServerSelector(serverTable, settings.failureDomain)
    val prompts = PromptProfile()
    val pools = ConnectionPools(loop, clock, ::inputReceived, log::unexpectedInput)
    val queue = RequestQueue<Exchange>()
    val responseBuffers = BufferBudget(MAXIMUM_BUFFERED_RESPONSE_BYTES)
    val crashes = CrashGuard(clock, sharing = crashSharing)
    val crashDetector = CrashDetector(loop, pools, crashes, log)
    val arrivals = ArrivalClock(clock)
    private var polling = false
    private val budgets = HashMap<ServiceId, RetryBudget>()

    /** Whether the process ends before [deadline], so that a request with this deadline may be cut off. */
    fun endsBefore(deadline: ComparableTimeMark): Boolean = endsAt.let { it != null && it < deadline }

    fun now(): ComparableTimeMark = clock.markNow()

    /** Notes that the traffic thread handles input; the round ends with the tasks that follow all input that is ready. */
    fun inputReceived() {
        if (arrivals.inRound) return
        arrivals.roundStarted()
        loop.execute(arrivals::roundEnded)
    }

    fun service(id: ServiceId): GatewayService? = configuration?.services?.get(id)

    /** The retry budget of one service, divided evenly among the VMs. */
    fun budget(service: ServiceId): RetryBudget =
        budgets.getOrPut(service) {
            RetryBudget(clock, settings.retryRatio * RETRY_SHARE, leastPerSecond = 0) {
                settings.retrySpare * RETRY_SHARE / liveVms
            }
        }

    fun policy(service: ServiceId): AttemptPolicy = AttemptPolicy { budget(service).tryTake() }

    /** Maximum number of connections from this VM to one server of [service]. */
    fun connectionLimit(service: GatewayService): Int =
        (service.maximumConnections * CONNECTION_SHARE / liveVms).toInt().coerceAtLeast(1)

    /**
     * Sends [exchange] to a server in its turn; until then it is queued. The queue is polled because servers suspended
     * for a short time become available again.
     */
    fun submit(exchange: Exchange) {
        queue.submit(exchange)
        pollQueue()
    }

    /** Dispatches queued requests to servers with capacity, in order of priority. */
    fun dispatchQueued() = queue.dispatch()

    private fun pollQueue() {
        if (polling || queue.isEmpty) return
        polling = true
        loop.schedule({
            polling = false
            dispatchQueued()
            pollQueue()
        }, QUEUE_POLL_INTERVAL.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private companion object {
        /** A fifth of the heap in `deploy/system.toml`, and four responses of the largest size that is buffered. */
        const val MAXIMUM_BUFFERED_RESPONSE_BYTES = 32L * 1024 * 1024

        /** Half of the shortest time for which a server is suspended. */
        val QUEUE_POLL_INTERVAL: Duration = 25.milliseconds

        /** Share of the retry budget that is used; the rest covers VMs whose budget windows are not aligned. */
        const val RETRY_SHARE = 0.7

        /** Share of a server's connections that is used; the rest is for health checks and VMs that just joined. */
        const val CONNECTION_SHARE = 0.9
    }
}
