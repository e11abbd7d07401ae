package io.tarragonport.daemon.gateway.exchange

import io.netty.channel.EventLoop
import io.netty.util.internal.PlatformDependent
import io.tarragonport.api.gateway.GatewayRoute
import io.tarragonport.api.gateway.GatewayService
import io.tarragonport.api.id.ServiceId
import io.tarragonport.api.settings.GatewaySettings
import io.tarragonport.core.gateway.attempt.AttemptPolicy
import io.tarragonport.core.gateway.balance.PromptProfile
import io.tarragonport.core.gateway.balance.SelectionRequest
import io.tarragonport.core.gateway.balance.ServerSelector
import io.tarragonport.core.gateway.balance.ServerTable
import io.tarragonport.core.gateway.fleet.FleetView
import io.tarragonport.core.gateway.overload.ArrivalClock
import io.tarragonport.core.gateway.overload.BufferBudget
import io.tarragonport.core.gateway.overload.CallerBufferLimit
import io.tarragonport.core.gateway.route.ActiveConfiguration
import io.tarragonport.core.gateway.waiting.LongestWaits
import io.tarragonport.core.gateway.waiting.RequestQueue
import io.tarragonport.core.gateway.waiting.ReturnSchedule
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
    private val loadQuestions: LoadQuestions,
) {
    /** The active settings; a changed retry ratio resets the retry budgets. */
    var settings: GatewaySettings = settings
        set(changed) {
            if (changed.retryRatio != field.retryRatio) budgets.clear()
            field = changed
        }
    var configuration: ActiveConfiguration? = null
        set(changed) {
            longestWaits.clear()
            field = changed
        }
    var draining = false

    /** When the process ends; null until it accepts no more connections. */
    var endsAt: ComparableTimeMark? = null

    val serverTable = ServerTable(clock).apply { fleet = FleetView(settings.vmId) }

    /** The VMs that share the servers' connections and the retry budget. */
    var fleet: FleetView by serverTable::fleet
    val selector = ServerSelector(serverTable, settings.failureDomain)
    val prompts = PromptProfile()
    private val longestWaits = LongestWaits(clock, prompts)
    val pools = ConnectionPools(loop, clock, ::inputReceived, log::unexpectedInput)
    val queue = RequestQueue<Exchange>()
    val callerBuffers =
        BufferBudget(
            CallerBufferLimit.of(
                Runtime.getRuntime().maxMemory(),
                PlatformDependent.maxDirectMemory(),
                LARGEST_BODY_BYTES,
            ),
        )
    val responseBuffers = BufferBudget(MAXIMUM_BUFFERED_RESPONSE_BYTES)
    val crashes = CrashGuard(clock, sharing = crashSharing)
    val crashDetector = CrashDetector(loop, pools, crashes, log)
    val arrivals = ArrivalClock(clock)
    private var polling = false
    private var passingLoadsOn = false
    private val budgets = HashMap<ServiceId, RetryBudget>()
    private val returnSchedules = HashMap<ServiceId, ReturnSchedule>()

    /** Questions for loads that were answered in time, and those that were not. */
    var answeredQuestions = 0L
        private set
    var unansweredQuestions = 0L
        private set

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
                settings.retrySpare * RETRY_SHARE / fleet.size
            }
        }

    /** When refused callers of [service] are told to return. */
    fun returns(service: ServiceId): ReturnSchedule = returnSchedules.getOrPut(service) { ReturnSchedule(clock) }

    fun policy(service: ServiceId): AttemptPolicy = AttemptPolicy { budget(service).tryTake() }

    /** Maximum number of connections from this VM to one server of [service]. */
    fun connectionLimit(service: GatewayService): Int =
        (service.maximumConnections * CONNECTION_SHARE / fleet.size).toInt().coerceAtLeast(1)

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

    /** The time that the prompts ahead of a request of [route] with [priority] that has [waited] may take. */
    fun longestWait(
        route: GatewayRoute,
        priority: Int,
        service: ServiceId,
        waited: Duration,
    ): Duration? {
        if (!fleet.reportsAreLate) return null
        val routes = configuration?.content?.routes ?: return null
        return longestWaits.of(route, priority, service, waited, routes)
    }

    /**
     * Asks for the load at the servers that are compared for [request], unless it is known, and then calls [then]; at
     * the latest after [ANSWER_TIMEOUT].
     */
    fun askLoads(
        request: SelectionRequest,
        then: () -> Unit,
    ) {
        val now = now()
        val unknown =
            selector.compared(request, now).filter { server ->
                server.loadAnsweredAt.let { it == null || now - it > ANSWER_AGE }
            }
        if (unknown.isEmpty()) return then()
        val missing = unknown.mapTo(HashSet()) { it.registered.id }
        val timer =
            loop.schedule({
                if (missing.isNotEmpty()) {
                    unansweredQuestions++
                    missing.clear()
                    then()
                }
            }, ANSWER_TIMEOUT.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        loadQuestions.ask(missing.toList()) { loads ->
            serverTable.answerOtherVmLoads(loads)
            if (missing.removeAll(loads.keys) && missing.isEmpty()) {
                answeredQuestions++
                timer.cancel(false)
                then()
            }
        }
    }

    /** Passes changed loads on to the VMs that keep them, those of one [LOAD_BATCH_TIME] together. */
    fun loadsChanged() {
        if (passingLoadsOn || !fleet.reportsAreLate) return
        passingLoadsOn = true
        loop.schedule({
            passingLoadsOn = false
            loadQuestions.changed(serverTable.takeChangedLoads())
        }, LOAD_BATCH_TIME.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun pollQueue() {
        if (polling || queue.isEmpty) return
        polling = true
        loop.schedule({
            polling = false
            queue.first(ASKED_WAITING).forEach { it.askLoads() }
            dispatchQueued()
            pollQueue()
        }, QUEUE_POLL_INTERVAL.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private companion object {
        /** The limit of bodies in the deployments' configurations. */
        const val LARGEST_BODY_BYTES = 4 * 1024 * 1024

        /** A fifth of the heap in `deploy/system.toml`, and four responses of the largest size that is buffered. */
        const val MAXIMUM_BUFFERED_RESPONSE_BYTES = 32L * 1024 * 1024

        /** Half of the shortest time for which a server is suspended. */
        val QUEUE_POLL_INTERVAL: Duration = 25.milliseconds

        /** Two messages between failure domains, and a round of the event loop of a busy VM. */
        val ANSWER_TIMEOUT: Duration = 25.milliseconds

        /** An engine processes a short prompt in this time. */
        val ANSWER_AGE: Duration = 20.milliseconds

        /** Less than a message takes between failure domains and back. */
        val LOAD_BATCH_TIME: Duration = 2.milliseconds

        /** Waiting requests, the first in order, for which loads are asked again. */
        const val ASKED_WAITING = 4

        /** Share of the retry budget that is used; the rest covers VMs whose budget windows are not aligned. */
        const val RETRY_SHARE = 0.7

        /** Share of a server's connections that is used; the rest is for health checks and VMs that just joined. */
        const val CONNECTION_SHARE = 0.9
    }
}
