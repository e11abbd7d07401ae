package io.tarragonport.daemon.gateway.control

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.ServiceId
import io.tarragonport.api.peer.CrashRecord
import io.tarragonport.api.settings.GatewaySettings
import io.tarragonport.core.gateway.balance.ServerLoad
import io.tarragonport.core.gateway.fleet.FleetIntervals
import io.tarragonport.core.gateway.fleet.LoadExchange
import io.tarragonport.core.gateway.fleet.ServiceDemandMeter
import io.tarragonport.core.gateway.fleet.VmRecord
import io.tarragonport.core.gateway.fleet.VmRecordTable
import io.tarragonport.core.gateway.registry.ServerRegistry
import io.tarragonport.core.gateway.usage.SmoothedWallClock
import io.tarragonport.core.gateway.usage.UsageWindowCounter
import io.tarragonport.core.lease.LeaseOwner
import io.tarragonport.core.lease.LeaseSettings
import io.tarragonport.daemon.gateway.exchange.GatewayEvents
import io.tarragonport.daemon.gateway.exchange.TrafficState
import io.tarragonport.daemon.gateway.exchange.UsageSink
import io.tarragonport.daemon.lease.LeaseCandidacy
import io.tarragonport.daemon.lease.LeaseLoop
import io.tarragonport.daemon.peer.SocketPeerTransport
import io.tarragonport.platform.PlatformHttp
import io.tarragonport.platform.PlatformTimeouts
import io.tarragonport.wire.ConfigurationDecoder
import io.tarragonport.wire.NativeDuties
import io.tarragonport.wire.NativeObjectStore
import io.tarragonport.wire.ServerDecoder
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.Executors
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Everything that runs on the control thread: following the store and the duties of a lease holder.
 *
 * [onTraffic] runs a task on the traffic thread, in the order of the calls.
 */
internal class ControlModule(
    private val settings: GatewaySettings,
    clock: TimeSource.WithComparableMarks,
    private val log: ControlLog,
    private val onTraffic: ((TrafficState) -> Unit) -> Unit,
) {
    private val executor = Executors.newSingleThreadExecutor { Thread(it, "control").apply { isDaemon = true } }
    private val dispatcher = executor.asCoroutineDispatcher()
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)
    private val http = PlatformHttp(settings.platformUrl, STORE_TIMEOUTS)
    private val store = NativeObjectStore(http)
    private val meter = UsageWindowCounter(settings.usageWindowSeconds.seconds)
    private val configuration =
        ConfigurationFollower(log) { next ->
            onTraffic {
                it.configuration = next
                it.serverTable.configure(next.content.services)
                it.dispatchWaiting()
            }
        }
    private val servers =
        ServerFollower(ServerRegistry(clock), log) { registered ->
            serversKnown = true
            onTraffic { state ->
                state.serverTable.update(registered).forEach(state.pools::ended)
                state.dispatchWaiting()
            }
        }
    private var intervals = FleetIntervals(liveVms = 1)
    private val configurationWatch =
        KindWatch(ConfigurationDecoder.PREFIX, store, clock, log, configuration) { intervals }
    private val serverWatch = KindWatch(ServerDecoder.PREFIX, store, clock, log, servers) { intervals }

    private val wall = SmoothedWallClock(Clock.System, clock)
    private val demand = ServiceDemandMeter(clock)
    private val incarnation = Incarnation(Clock.System.now().toEpochMilliseconds())
    private val view = VmRecordTable(clock)
    private val record =
        VmRecordLoop("$RECORDS${settings.vmId}-$incarnation", store, log, { intervals.recordInterval }, ::ownRecord)
    private val fleet = FleetLoop(RECORDS, store, store, view, log, { intervals.recordInterval }, ::fleetChanged)
    private val peerAddress = "${settings.ip}:${settings.peerPorts.first()}"
    private val peers =
        GatewayPeers(
            settings.vmId,
            incarnation,
            peerAddress,
            SocketPeerTransport(peerAddress),
            dispatcher,
            configuration,
            servers,
            interval = { intervals.announceInterval },
            received = { from, message -> loads.receive(from, message) },
        )

    /** What this VM had at backend servers when the traffic thread was asked last. */
    @Volatile
    private var ownLoads: Map<BackendServerId, ServerLoad> = emptyMap()
    private val loads: LoadLoop =
        LoadLoop(settings.vmId, LoadExchange(settings.vmId, clock), { intervals.loadInterval }, peers::send) { others ->
            onTraffic { state ->
                state.serverTable.updateOthers(others)
                ownLoads = state.serverTable.ownLoads()
            }
            ownLoads
        }
    private val duties = settings.dutyUrl?.let { dutyLoop(PlatformHttp(it, DUTY_TIMEOUTS), clock) }

    /** Where the traffic thread counts what it sends and what began to run. */
    val usage =
        object : UsageSink {
            override fun began(organisation: OrganisationId) = meter.began(organisation, wall.now())

            override fun sent(
                service: ServiceId,
                tokens: Int,
            ) = demand.started(service, tokens)

            override fun ended(service: ServiceId) = demand.ended(service)
        }

    /** Crashes that the traffic thread knows of, as of the last reading of the fleet. */
    @Volatile
    private var seenCrashes: List<CrashRecord> = emptyList()

    /** Whether the backend servers have been listed. */
    @Volatile
    var serversKnown = false
        private set

    /** Begins to follow the store. */
    fun start() {
        part("configuration watch") { configurationWatch.run() }
        part("server watch") { serverWatch.run() }
        part("expiry of servers") { servers.expireMissing() }
        part("record") { record.run() }
        part("fleet") { fleet.run() }
        peers.updatePeers(settings.seeds.map { "${it.substringBeforeLast(':')}:${settings.peerPorts.first()}" })
        part("peer messages") { peers.listen() }
        part("announcements") { peers.announce() }
        part("loads") { loads.run() }
        duties?.let { (lease, loop) ->
            part("lease") { lease.run() }
            part("duties") { loop.run() }
        }
    }

    /** Runs one part; a part that fails unexpectedly is logged and started again, and the others go on. */
    private fun part(
        name: String,
        run: suspend () -> Unit,
    ) = scope.launch {
        while (true) {
            try {
                return@launch run()
            } catch (exception: CancellationException) {
                throw exception
            } catch (exception: Exception) {
                log.event(GatewayEvents.PART_FAILED, "part" to name, "error" to exception)
                delay(RESTART_DELAY)
            }
        }
    }

    /** Writes the last counts, gives up the lease and ends all control work. */
    suspend fun stop() {
        withTimeoutOrNull(STOP_LIMIT) {
            withContext(dispatcher) { record.write() }
            duties?.let { (lease, _) -> lease.release(STOP_LIMIT) }
        }
        scope.cancel()
        http.close()
        executor.shutdown()
    }

    private fun fleetChanged(live: List<VmRecord>) {
        intervals = FleetIntervals(live.size)
        peers.updatePeers(live.map { it.peerAddress })
        loads.updatePeers(live)
        val crashes = live.filter { it.vm != settings.vmId }.flatMap { it.crashes }
        onTraffic { state ->
            state.liveVms = maxOf(live.size, 1)
            state.crashes.merge(crashes)
            seenCrashes = state.crashes.known
        }
    }

    private fun ownRecord(beat: Long): VmRecord {
        val newest = meter.windowAt(wall.now())
        val windows = meter.after(newest - WINDOWS_IN_RECORD).associate { it.window to it.requests }
        return VmRecord(
            vm = settings.vmId,
            incarnation = incarnation,
            peerAddress = peerAddress,
            beat = beat,
            windows = windows,
            demand = demand.read(),
            crashes = seenCrashes,
            nextInMs = intervals.recordInterval.inWholeMilliseconds,
        )
    }

    private fun dutyLoop(
        platform: PlatformHttp,
        clock: TimeSource.WithComparableMarks,
    ): Pair<LeaseLoop, DutyLoop> {
        val owner = LeaseOwner(settings.vmId, incarnation)
        val candidacy = LeaseCandidacy(DUTIES, settings.vmId, DUTY_CANDIDATES) { view.live().map { it.vm } }
        val lease = LeaseLoop(DUTIES, owner, store, dispatcher, clock, leaseSettings(), candidacy::eligible)
        val native = NativeDuties(platform)
        val timeout = DUTY_TIMEOUTS.order
        val usage =
            UsageDuty(
                settings.vmId,
                store,
                native,
                lease,
                view,
                wall,
                settings.usageWindowSeconds.seconds,
                settings.usageDueSeconds.seconds,
                timeout,
                log,
            )
        val scaling = ScalingDuty(settings.vmId, native, lease, view, ScalingBaselines(store), clock, timeout, log)
        val loop = DutyLoop(lease, fleet, usage, scaling) { duty -> scale(duty) }
        return lease to loop
    }

    private suspend fun scale(duty: ScalingDuty) {
        val services = configuration.inForce?.services?.values ?: return
        val domains =
            services
                .flatMap {
                    it.scaling
                        ?.domainPrices
                        ?.keys
                        .orEmpty()
                }.toSet()
        duty.run(services, servers.known, domains)
    }

    /** Two holders act at least the settings' lease time apart. */
    private fun leaseSettings(): LeaseSettings {
        val duration = (settings.leaseSeconds * LEASE_FACTOR).seconds
        return LeaseSettings(
            duration = duration,
            margin = LEASE_MARGIN,
            renewInterval = duration / RENEWALS,
            observeInterval = duration / 2,
            retryInterval = LEASE_RETRY,
            takeoverDelay = DUTY_TIMEOUTS.order,
        )
    }

    private companion object {
        const val RECORDS = "vms/"
        const val DUTIES = "duties"

        /** One in 200 chances that the store turns all of them away when it does so to a third of the VMs. */
        const val DUTY_CANDIDATES = 5

        /** Windows that may still be open when a VM writes its record. */
        const val WINDOWS_IN_RECORD = 5L

        /** Twice the shortest lease, so that one lost renewal does not end it. */
        const val LEASE_FACTOR = 2.0
        const val RENEWALS = 3
        val LEASE_MARGIN = 500.milliseconds
        val LEASE_RETRY = 400.milliseconds

        /** Pause before a failed part starts again. */
        val RESTART_DELAY = 500.milliseconds

        /** Two calls to the store. */
        val STOP_LIMIT = 600.milliseconds

        /** The platform's duties answer in milliseconds; a slow one needs up to half a second. */
        val DUTY_TIMEOUTS = PlatformTimeouts(connect = 400.milliseconds, call = 1.seconds, order = 1.seconds)

        /** The store answers in milliseconds; a slow one needs up to half a second. */
        val STORE_TIMEOUTS =
            PlatformTimeouts(connect = 500.milliseconds, call = 1.5.seconds, watchSlack = 1.seconds)
    }
}
