package io.tarragonport.daemon.gateway.control

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.util.concurrent.DefaultThreadFactory
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.FencingToken
import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.ServiceId
import io.tarragonport.api.id.VmId
import io.tarragonport.api.peer.PeerMessage
import io.tarragonport.api.settings.GatewaySettings
import io.tarragonport.core.gateway.balance.ServerLoad
import io.tarragonport.core.gateway.fleet.FleetIntervals
import io.tarragonport.core.gateway.fleet.FleetView
import io.tarragonport.core.gateway.fleet.LoadExchange
import io.tarragonport.core.gateway.fleet.RelayPlan
import io.tarragonport.core.gateway.fleet.ServiceDemandMeter
import io.tarragonport.core.gateway.fleet.VmRecord
import io.tarragonport.core.gateway.fleet.VmRecordTable
import io.tarragonport.core.gateway.registry.ServerRegistry
import io.tarragonport.core.gateway.usage.SmoothedWallClock
import io.tarragonport.core.gateway.usage.UsageWindowCounter
import io.tarragonport.core.lease.LeaseOwner
import io.tarragonport.core.store.StoreEras
import io.tarragonport.daemon.gateway.exchange.CrashGuard
import io.tarragonport.daemon.gateway.exchange.CrashSharing
import io.tarragonport.daemon.gateway.exchange.GatewayEvents
import io.tarragonport.daemon.gateway.exchange.LoadQuestions
import io.tarragonport.daemon.gateway.exchange.TrafficState
import io.tarragonport.daemon.gateway.exchange.UsageRecorder
import io.tarragonport.daemon.lease.LeaseCandidacy
import io.tarragonport.daemon.peer.SocketPeerTransport
import io.tarragonport.platform.PlatformHttp
import io.tarragonport.platform.PlatformTimeouts
import io.tarragonport.wire.ConfigurationDecoder
import io.tarragonport.wire.Evacuations
import io.tarragonport.wire.ServerDecoder
import io.tarragonport.wire.UserPlatformDuties
import io.tarragonport.wire.UserPlatformObjectStore
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.TimeUnit
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Wires and runs everything on the control thread: watching the object store, exchanging state with other VMs, and the
 * duties of the lease holder.
 *
 * [runOnTrafficThread] runs a task on the traffic thread; tasks run in the order of the calls.
 */
internal class ControlModule(
    private val settings: GatewaySettings,
    private val clock: TimeSource.WithComparableMarks,
    private val log: ControlLog,
    private val runOnTrafficThread: ((TrafficState) -> Unit) -> Unit,
) {
    private val group =
        MultiThreadIoEventLoopGroup(1, DefaultThreadFactory("control", true), NioIoHandler.newFactory())
    private val loop = group.next()
    private val dispatcher = loop.asCoroutineDispatcher()
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)
    private val loops = LoopRunner(scope, log)
    private val http = PlatformHttp(settings.platformUrl, STORE_TIMEOUTS, loop)
    private val storeEras = StoreEras()
    private val store = UserPlatformObjectStore(http, storeEras)
    private val usageCounter = UsageWindowCounter(settings.usageWindowSeconds.seconds)
    private val configurationUpdater: ConfigurationUpdater =
        ConfigurationUpdater(log) { next ->
            runOnTrafficThread {
                it.configuration = next
                it.serverTable.configure(next.content.services)
                it.dispatchQueued()
            }
            peers.configurationChanged()
        }
    private val serverListUpdater: ServerListUpdater =
        ServerListUpdater(ServerRegistry(clock), log, passOn = { peers.passOn(it) }) { registered ->
            serversListed = true
            runOnTrafficThread { state ->
                state.serverTable.update(registered).forEach(state.pools::retire)
                state.dispatchQueued()
            }
        }
    private var intervals = FleetIntervals(liveVms = 1)
    private val currentWatchers = LeaseCandidacy(WATCH_ROLE, settings.vmId, CURRENT_WATCHERS) { liveVms }

    /** VMs that were live at the last reading of the VM records. */
    private var liveVms: Set<VmId> = emptySet()
    private var watchesCurrent = true
    private val evacuationUpdater =
        EvacuationUpdater(log, passOn = { peers.passOn(it) }) { domains ->
            runOnTrafficThread { state ->
                state.serverTable.evacuate(domains)
                state.dispatchQueued()
            }
        }
    private val evacuationWatcher = settings.evacuationSeconds?.let { createEvacuationWatcher(it.seconds) }
    private val configurationWatcher = watcher(ConfigurationDecoder.PREFIX, configurationUpdater)
    private val serverWatcher = watcher(ServerDecoder.PREFIX, serverListUpdater)

    private val wallClock = SmoothedWallClock(Clock.System, clock)
    private val demand = ServiceDemandMeter(clock)
    private val incarnation = Incarnation(Clock.System.now().toEpochMilliseconds())
    private val recordTable = VmRecordTable(clock)
    private val recordLoop =
        VmRecordLoop(
            "$RECORD_PREFIX${settings.vmId}-$incarnation",
            store,
            log,
            { intervals.recordInterval },
            ::buildRecord,
        )
    private val fleetLoop =
        FleetLoop(RECORD_PREFIX, store, store, recordTable, log, { intervals.recordInterval }, ::fleetChanged)
    private val peerAddress = "${settings.ip}:${settings.peerPorts.first()}"
    private val peers: GatewayPeers =
        GatewayPeers(
            settings.vmId,
            incarnation,
            peerAddress,
            SocketPeerTransport(peerAddress, loop),
            dispatcher,
            configurationUpdater,
            serverListUpdater,
            storeEras,
            interval = { intervals.announceInterval },
            clock = clock,
            onOtherChanges = evacuationUpdater::onPeerChanges,
            onOtherMessage = { from, message ->
                when {
                    message is PeerMessage.GatewayCrashes -> runOnTrafficThread { it.crashes.receive(message) }
                    !loadKeeper.receive(from, message) -> loadLoop.receive(from, message)
                }
            },
        )
    private val loadKeeper = LoadKeeper(settings.vmId, clock, peers::send)
    private val crashGossip =
        CrashGossip(
            interval = { intervals.announceInterval },
            clock = clock,
            recentCrashes = { crashGuard?.recentCrashes.orEmpty() },
            sendToRandom = peers::sendToRandom,
        )

    /** Passes crashes on to other VMs; called by the traffic thread. */
    val crashSharing =
        CrashSharing { news -> onLoop { crashGossip.passOn(news) } }

    /** Passes loads on and asks for them; called by the traffic thread. */
    val loadQuestions =
        object : LoadQuestions {
            override fun changed(loads: Map<BackendServerId, ServerLoad>) = onLoop { loadKeeper.changed(loads) }

            override fun ask(
                servers: List<BackendServerId>,
                answered: (Map<BackendServerId, ServerLoad>) -> Unit,
            ) = onLoop { loadKeeper.ask(servers) { loads -> runOnTrafficThread { answered(loads) } } }
        }

    /** This VM's load at backend servers, as last read on the traffic thread. */
    @Volatile
    private var localLoads: Map<BackendServerId, ServerLoad> = emptyMap()
    private val loadLoop: LoadLoop =
        LoadLoop(
            settings.vmId,
            LoadExchange(settings.vmId, clock),
            { intervals.loadInterval },
            peers::send,
        ) { otherVmLoads ->
            runOnTrafficThread { state ->
                state.serverTable.updateOtherVmLoads(otherVmLoads)
                localLoads = state.serverTable.localLoads()
            }
            loadKeeper.changed(localLoads)
            localLoads
        }
    private val duties =
        settings.dutyUrl?.let {
            DutyModule(
                settings,
                LeaseOwner(settings.vmId, incarnation),
                UserPlatformDuties(PlatformHttp(it, DutyModule.TIMEOUTS, loop)),
                store,
                dispatcher,
                clock,
                wallClock,
                recordTable,
                fleetLoop,
                {
                    configurationUpdater.active
                        ?.services
                        ?.values
                        .orEmpty()
                },
                { serverListUpdater.registered },
                log,
            )
        }

    /** Counts requests sent and requests started, for scaling and usage reports; called by the traffic thread. */
    val usage =
        object : UsageRecorder {
            override fun requestStarted(organisation: OrganisationId) =
                usageCounter.requestStarted(organisation, wallClock.now())

            override fun requestSent(
                service: ServiceId,
                tokens: Int,
            ) = demand.requestSent(service, tokens)

            override fun requestEnded(service: ServiceId) = demand.requestEnded(service)
        }

    /** The traffic thread's records of crashes, once it has run the first task. */
    @Volatile
    private var crashGuard: CrashGuard? = null

    /** Whether a listing of the backend servers has been received. */
    @Volatile
    var serversListed = false
        private set

    /** Starts all control loops. */
    fun start() {
        runOnTrafficThread { crashGuard = it.crashes }
        storeEras.addListener { era ->
            log.event(GatewayEvents.STORE_RESTORED, "era" to era)
            duties?.storeRestored(era)
            listOfNotNull(configurationWatcher, serverWatcher, evacuationWatcher).forEach { it.storeRestored() }
            peers.storeRestored()
        }
        loops.launch("configuration watch") { configurationWatcher.run() }
        loops.launch("server watch") { serverWatcher.run() }
        evacuationWatcher?.let { watcher -> loops.launch("evacuation watch") { watcher.run() } }
        loops.launch("expiry of servers") { serverListUpdater.expireMissing() }
        loops.launch("record") { recordLoop.run() }
        loops.launch("fleet") { fleetLoop.run() }
        peers.updatePeers(settings.seeds.map { "${it.substringBeforeLast(':')}:${settings.peerPorts.first()}" })
        loops.launch("peer messages") { peers.listen() }
        loops.launch("announcements") { peers.announce() }
        loops.launch("changes") { peers.spreadChanges() }
        loops.launch("crashes") { crashGossip.spread() }
        loops.launch("repeated crashes") { crashGossip.repeat() }
        loops.launch("loads") { loadLoop.run() }
        duties?.start(loops)
    }

    /** Writes the final usage counts, releases the lease and stops all loops. */
    suspend fun stop() {
        withTimeoutOrNull(STOP_TIMEOUT) {
            withContext(dispatcher) { recordLoop.write() }
            duties?.release(STOP_TIMEOUT)
        }
        scope.cancel()
        http.close()
        group.shutdownGracefully(0, STOP_TIMEOUT.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun fleetChanged(live: List<VmRecord>) {
        intervals = FleetIntervals(live.size)
        updateWatches(live.map { it.vm }.toSet())
        peers.updatePeers(live.map { it.peerAddress })
        loadLoop.updatePeers(live)
        loadKeeper.updatePeers(live)
        duties?.recordsRead()
        val crashes = live.filter { it.vm != settings.vmId }.flatMap { it.crashes }
        runOnTrafficThread { state ->
            state.fleet = FleetView(settings.vmId, live.map { it.vm })
            state.crashes.mergeVmRecords(crashes)
        }
    }

    private fun onLoop(task: () -> Unit) {
        if (!loop.isShuttingDown) loop.execute(task)
    }

    private fun updateWatches(live: Set<VmId>) {
        if (live == liveVms) return
        liveVms = live
        watchesCurrent = live.size <= RelayPlan.MESH_SIZE || currentWatchers.eligible()
    }

    private fun watcher(
        prefix: String,
        listener: ObjectListener,
    ) = ObjectWatcher(prefix, store, clock, log, listener, store, { watchesCurrent }, null) { intervals }

    /** Evacuations are rare and have more time than other changes, so fewer VMs watch them, and with longer calls. */
    private fun createEvacuationWatcher(limit: Duration): ObjectWatcher {
        val currentWatchers = LeaseCandidacy(EVACUATION_ROLE, settings.vmId, CURRENT_EVACUATION_WATCHERS) { liveVms }
        return ObjectWatcher(
            Evacuations.PREFIX,
            store,
            clock,
            log,
            evacuationUpdater,
            store,
            { currentWatchers.eligible() },
            { limit + EVACUATION_WATCH_RESERVE },
        ) { intervals }
    }

    private fun buildRecord(heartbeat: Long): VmRecord {
        val newest = usageCounter.windowAt(wallClock.now())
        val windows = usageCounter.after(newest - WINDOWS_IN_RECORD).associate { it.window to it.requests }
        return VmRecord(
            vm = settings.vmId,
            incarnation = incarnation,
            peerAddress = peerAddress,
            heartbeat = heartbeat,
            windows = windows,
            demand = demand.read(),
            crashes = crashGuard?.recentCrashes.orEmpty(),
            nextInMs = intervals.recordInterval.inWholeMilliseconds,
            highestToken = duties?.highestToken ?: FencingToken(0),
            era = duties?.eraSighting,
            finalCounts = duties?.publishedCounts().orEmpty(),
        )
    }

    private companion object {
        const val RECORD_PREFIX = "vms/"
        const val WATCH_ROLE = "watch"
        const val EVACUATION_ROLE = "evacuations"

        /** VMs that watch the current evacuations; the others hear of changes from them and by watches with a lag. */
        const val CURRENT_EVACUATION_WATCHERS = 3

        /** A stalled watch is detected within the platform's stabilisation time plus the permitted delay. */
        val EVACUATION_WATCH_RESERVE = 2.seconds

        /** Number of VMs of a large fleet that watch the current state; one store call each per change is billed. */
        const val CURRENT_WATCHERS = 7

        /** Number of usage windows that can still be open when a VM writes its record. */
        const val WINDOWS_IN_RECORD = 5L

        /** Allows for two calls to the object store. */
        val STOP_TIMEOUT = 600.milliseconds

        /** The object store responds within milliseconds, or up to 500 ms when slow. */
        val STORE_TIMEOUTS =
            PlatformTimeouts(connect = 500.milliseconds, call = 1.5.seconds, watchMargin = 1.seconds)
    }
}
