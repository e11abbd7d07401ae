package io.tarragonport.daemon

import io.tarragonport.api.settings.ProcessSettings
import io.tarragonport.core.admission.TieredDispatch
import io.tarragonport.core.health.CrashHistory
import io.tarragonport.core.retry.RetryBudget
import io.tarragonport.daemon.caller.CallerContext
import io.tarragonport.daemon.caller.CallerServer
import io.tarragonport.daemon.caller.RateLimiter
import io.tarragonport.daemon.configuration.ConfigurationSource
import io.tarragonport.daemon.dispatch.CrashExchange
import io.tarragonport.daemon.dispatch.DecisionTraces
import io.tarragonport.daemon.dispatch.Dispatcher
import io.tarragonport.daemon.dispatch.LoadPoller
import io.tarragonport.daemon.dispatch.RequestExecutor
import io.tarragonport.daemon.dispatch.ServerFeed
import io.tarragonport.daemon.dispatch.TracingDecisionLog
import io.tarragonport.daemon.dispatch.TrafficMetrics
import io.tarragonport.daemon.intent.IntentRegistry
import io.tarragonport.daemon.membership.MembershipView
import io.tarragonport.daemon.peer.CrashBroadcast
import io.tarragonport.daemon.peer.PeerGossip
import io.tarragonport.daemon.peer.PeerMessenger
import io.tarragonport.daemon.placement.InventoryView
import io.tarragonport.daemon.server.RegionDemand
import io.tarragonport.daemon.server.ServerDirectory
import io.tarragonport.daemon.usage.UsageMeter
import io.tarragonport.platform.backend.HttpBackendServerClient
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import org.apache.commons.math3.random.Well19937c
import kotlin.random.Random
import kotlin.time.TimeSource

/** Request traffic of one process: admission, routing, the backend server client and the caller endpoints. */
internal class TrafficModule(
    settings: ProcessSettings,
    configuration: ConfigurationSource,
    inventory: InventoryView,
    fleet: MembershipView,
    gossip: PeerGossip,
    messenger: PeerMessenger,
    intents: IntentRegistry,
    usage: UsageMeter,
    limits: RateLimiter,
    random: Random,
    private val loops: ControlLoops,
    decorators: ComponentDecorators,
) {
    private val timeSource = TimeSource.Monotonic
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)

    /** Client for requests and orders to backend servers. */
    val backend = decorators.backend(HttpBackendServerClient())
    private val crashHistory = CrashHistory(timeSource)
    private val policy = TieredDispatch(settings.vmId, timeSource, Well19937c(random.nextLong()), crashHistory)
    private val crashes = CrashExchange(gossip, crashHistory) { dispatcher }
    private val traces = DecisionTraces()
    private val broadcast = CrashBroadcast(settings.vmId, settings.region, messenger, fleet, crashes)
    private val decisions = TracingDecisionLog(traces)

    val metrics = TrafficMetrics()
    val dispatcher: Dispatcher = Dispatcher(policy, decisions)

    private val directory = ServerDirectory(configuration, inventory, gossip)
    private val feed =
        ServerFeed(
            dispatcher = dispatcher,
            poller = LoadPoller(backend, dispatcher),
            configuration = configuration,
            servers = decorators.servers(directory.servers),
            fleet = fleet,
            vm = settings.vmId,
            region = settings.region,
        )

    /** Queued and running requests of the region. */
    val demand = RegionDemand(dispatcher, gossip)

    private val executor =
        RequestExecutor(
            dispatcher = dispatcher,
            budget = RetryBudget(timeSource),
            log = decisions,
            metrics = metrics,
            scope = scope,
            crashes = decorators.crashReporter(crashes.reporter(broadcast::announce)),
            mapOutcome = decorators::outcome,
        )

    val server =
        CallerServer(
            CallerContext(
                settings = settings,
                configuration = configuration,
                executor = executor,
                client = backend,
                intents = intents,
                usage = usage,
                limits = limits,
                traces = traces,
                metrics = metrics,
                timeSource = timeSource,
                scope = scope,
            ),
            additionalRoutes = { explainRoute(settings.vmId, traces) },
        )

    fun start() {
        loops.start("server directory") { directory.run() }
        loops.start("server feed") { feed.run() }
        loops.start("crash exchange") { crashes.run() }
        loops.start("crash broadcast") { broadcast.run() }
        loops.start("demand") { demand.run() }
        server.start()
    }

    /** Completes all accepted requests, then stops. */
    suspend fun stop() {
        server.drain()
        scope.cancel()
    }
}
