package io.tarragonport.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.peer.MemberDetails
import io.tarragonport.api.settings.ProcessSettings
import io.tarragonport.core.membership.LocalMember
import io.tarragonport.daemon.configuration.ConfigurationLoop
import io.tarragonport.daemon.event.line
import io.tarragonport.daemon.intent.ObjectStoreIntentRegistry
import io.tarragonport.daemon.intent.PeerIntentForwarding
import io.tarragonport.daemon.limit.LimitLoop
import io.tarragonport.daemon.peer.PeerNode
import io.tarragonport.daemon.peer.SocketPeerTransport
import io.tarragonport.daemon.status.StatusReporter
import io.tarragonport.daemon.status.StatusWriter
import io.tarragonport.platform.HttpBackendServerInterface
import io.tarragonport.platform.HttpObjectStore
import io.tarragonport.platform.HttpUsageReportInterface
import io.tarragonport.platform.HttpVmList
import io.tarragonport.platform.HttpWeightStore
import io.tarragonport.platform.PlatformHttp
import kotlinx.coroutines.flow.filterNotNull
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withContext
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * One daemon process: builds every part from the settings, starts them and stops them in order.
 *
 * Control loops run on one thread, traffic on the others.
 */
class Daemon(
    private val settings: ProcessSettings,
    decorators: ComponentDecorators = ComponentDecorators(),
) {
    private val logger = KotlinLogging.logger {}
    private val clock = Clock.System
    private val timeSource = TimeSource.Monotonic
    private val incarnation = Incarnation(clock.now().toEpochMilliseconds())
    private val random = Random(settings.vmId.value.hashCode() xor incarnation.value.hashCode())
    private val loops = ControlLoops()

    private val platform = PlatformHttp(settings.platformUrl)
    private val store = HttpObjectStore(platform)

    private val peers =
        PeerNode(
            local = localMember(),
            seeds = settings.peerSeeds,
            vmList = HttpVmList(platform),
            transport = SocketPeerTransport(settings.peerAddress),
            timeSource = timeSource,
            random = random,
        )
    private val configuration =
        ConfigurationLoop(store, settings.vmId, settings.region, peers, timeSource, peers)
    private val forwarding = PeerIntentForwarding(settings.vmId, peers, peers, loops.scope, timeSource)
    private val intents =
        ObjectStoreIntentRegistry(
            store = store,
            vm = settings.vmId,
            incarnation = incarnation,
            scope = loops.scope,
            clock = clock,
            timeSource = timeSource,
            forwarding = forwarding,
        ).also { forwarding.serve(it::commitForwarded) }
    private val usage =
        UsageModule(
            store = store,
            reports = HttpUsageReportInterface(platform),
            vm = settings.vmId,
            incarnation = incarnation,
            clock = clock,
            fleet = peers,
            loops = loops,
        )
    private val orders =
        OrderModule(
            settings = settings,
            incarnation = incarnation,
            store = store,
            backend = HttpBackendServerInterface(platform),
            weights = HttpWeightStore(platform),
            configuration = configuration,
            fleet = peers,
            loops = loops,
            decorators = decorators,
        )
    private val limits = LimitLoop(settings.vmId, configuration, peers, peers, timeSource)
    private val traffic =
        TrafficModule(
            settings = settings,
            configuration = decorators.configuration(configuration),
            inventory = orders.inventory,
            fleet = peers,
            gossip = peers,
            messenger = peers,
            intents = decorators.intents(intents),
            usage = usage.meter,
            limits = limits,
            random = random,
            loops = loops,
            decorators = decorators,
        )
    private val reporter =
        StatusReporter(
            settings = settings,
            incarnation = incarnation,
            clock = clock,
            configuration = configuration,
            fleet = peers,
            dispatcher = traffic.dispatcher,
            counters = traffic.metrics.classes,
            server = traffic.server,
            leases = { listOfNotNull(usage.heldLease, orders.heldLease) },
        )
    private val status = StatusWriter(store, report = reporter::report)

    /** Starts control loops and endpoints; callers are refused until a configuration is in force. */
    fun start() {
        loops.start("peers") { peers.run() }
        loops.start("configuration") { configuration.run() }
        loops.start("limits") { limits.run() }
        usage.start()
        orders.start(traffic.demand, traffic.backend)
        traffic.start()
        log(ProcessEvents.STARTED.line("VM ${settings.vmId} serves callers at ${settings.callerAddress}"))
        loops.start("status") { status.run() }
        loops.start("readiness") {
            configuration.current.filterNotNull().first()
            log(ProcessEvents.READY.line("configuration in force"))
            status.write()
        }
    }

    /** Stops gracefully: finishes every request, then hands over what this VM holds. */
    suspend fun stop() {
        log(ProcessEvents.DRAINING.line("finishing ${traffic.server.active} requests"))
        orders.stop()
        traffic.stop()
        intents.settle(SETTLE_LIMIT)
        usage.stop()
        status.write()
        withContext(loops.dispatcher) { peers.leave() }
        loops.stop()
        log(ProcessEvents.STOPPED.line("VM ${settings.vmId} stopped"))
    }

    private fun localMember() =
        LocalMember(
            id = settings.vmId,
            incarnation = incarnation,
            details =
                MemberDetails(
                    peerAddress = settings.peerAddress,
                    callerAddress = settings.callerAddress,
                    region = settings.region,
                    failureDomain = settings.failureDomain,
                ),
        )

    private fun log(line: String) = logger.info { line }

    private companion object {
        val SETTLE_LIMIT = 10.seconds
    }
}
