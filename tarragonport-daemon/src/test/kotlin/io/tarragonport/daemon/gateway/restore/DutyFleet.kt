package io.tarragonport.daemon.gateway.restore

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.tarragonport.api.gateway.DutyInterface
import io.tarragonport.api.gateway.ServerCountOrder
import io.tarragonport.api.gateway.WindowReport
import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.FencingToken
import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.RegionId
import io.tarragonport.api.id.VmId
import io.tarragonport.api.platform.PlatformError
import io.tarragonport.api.platform.RecentListing
import io.tarragonport.api.settings.GatewaySettings
import io.tarragonport.core.gateway.fleet.VmRecord
import io.tarragonport.core.gateway.fleet.VmRecordTable
import io.tarragonport.core.gateway.usage.UsageWindowCounter
import io.tarragonport.core.lease.LeaseOwner
import io.tarragonport.core.store.StoreEras
import io.tarragonport.daemon.gateway.control.ControlLog
import io.tarragonport.daemon.gateway.control.DutyModule
import io.tarragonport.daemon.gateway.control.FleetLoop
import io.tarragonport.daemon.gateway.control.LoopRunner
import io.tarragonport.daemon.gateway.control.VmRecordLoop
import io.tarragonport.daemon.store.FaultyObjectStore
import io.tarragonport.daemon.store.InMemoryObjectStore
import io.tarragonport.daemon.store.VirtualWallClock
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestScope
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * VMs that share the duties through one object store, in virtual time. Requests start on each VM all the time. Copies of
 * the store are kept, so that it can be restored from one; with [reportsEras] its responses carry the era.
 */
class DutyFleet(
    private val scope: TestScope,
    private val random: Random,
    private val reportsEras: Boolean = true,
    faultyStore: (InMemoryObjectStore) -> FaultyObjectStore = { FaultyObjectStore(it, scope.backgroundScope) },
) {
    private val store = InMemoryObjectStore()
    private val network = faultyStore(store)
    private val copies = ArrayDeque<InMemoryObjectStore.Copy>()
    private val vms = mutableMapOf<String, RunningVm>()

    /** Usage reports that the platform has received. */
    val reports = mutableListOf<ReceivedReport>()

    /** The VM that sent the latest report. */
    val holder: String? get() = reports.lastOrNull()?.holder?.value

    private inner class RunningVm(
        name: String,
    ) {
        private val vm = VmId(name)
        private val incarnation = Incarnation(scope.testScheduler.currentTime)
        private val job = SupervisorJob(scope.backgroundScope.coroutineContext[Job])
        private val vmScope = CoroutineScope(scope.backgroundScope.coroutineContext + job)
        private val clock = scope.testScheduler.timeSource
        private val wallClock = VirtualWallClock(scope.testScheduler, random.nextLong(-2_000, 2_000).milliseconds)
        private val eras = StoreEras()
        private val view = VmStore(network, eras) { store.era.takeIf { reportsEras } }
        private val counter = UsageWindowCounter(WINDOW)
        private val recordTable = VmRecordTable(clock)
        private val log = ControlLog { _, _ -> }
        private val fleetLoop =
            FleetLoop(RECORDS, view, RecentListing { view.list(it, withValues = true) }, recordTable, log, { RECORD }) {
                module.recordsRead()
            }
        private val module: DutyModule =
            DutyModule(
                settings(name),
                LeaseOwner(vm, incarnation),
                Platform(view),
                view,
                StandardTestDispatcher(scope.testScheduler),
                clock,
                wallClock,
                recordTable,
                fleetLoop,
                { emptyList() },
                { emptyList() },
                log,
            )
        private val recordLoop = VmRecordLoop("$RECORDS$vm-$incarnation", view, log, { RECORD }, ::record)

        init {
            eras.addListener(module::storeRestored)
            val loops = LoopRunner(vmScope, log)
            loops.launch("record") { recordLoop.run() }
            loops.launch("fleet") { fleetLoop.run() }
            module.start(loops)
            vmScope.launch { startRequests() }
        }

        fun kill() = vmScope.cancel()

        suspend fun stop() {
            recordLoop.write()
            module.release(STOP_TIMEOUT)
            kill()
        }

        fun pause(paused: Boolean) {
            view.paused.value = paused
        }

        private suspend fun startRequests() {
            while (true) {
                delay(random.nextLong(20, 200).milliseconds)
                if (!view.paused.value) counter.requestStarted(ORGANISATION, wallClock.now())
            }
        }

        private fun record(heartbeat: Long): VmRecord {
            val newest = counter.windowAt(wallClock.now())
            return VmRecord(
                vm,
                incarnation,
                "$vm:1",
                heartbeat,
                counter.after(newest - WINDOWS_IN_RECORD).associate { it.window to it.requests },
                emptyMap(),
                highestToken = module.highestToken,
                era = module.eraSighting,
                finalCounts = module.publishedCounts(),
            )
        }
    }

    /** A paused VM sends no calls; its duty calls fail. */
    private inner class Platform(
        private val view: VmStore,
    ) : DutyInterface {
        override suspend fun report(
            holder: VmId,
            fencingToken: FencingToken,
            report: WindowReport,
        ): Either<PlatformError, Unit> {
            if (view.paused.value) return PlatformError.Unavailable("paused").left()
            reports += ReceivedReport(scope.testScheduler.currentTime, holder, fencingToken, report)
            return Unit.right()
        }

        override suspend fun order(
            holder: VmId,
            fencingToken: FencingToken,
            order: ServerCountOrder,
        ): Either<PlatformError, Unit> = Unit.right()
    }

    init {
        scope.backgroundScope.launch {
            while (true) {
                copies.addLast(store.copy())
                if (copies.size > KEPT_COPIES) copies.removeFirst()
                delay(COPY_INTERVAL)
            }
        }
    }

    fun start(name: String) {
        vms[name]?.kill()
        vms[name] = RunningVm(name)
    }

    fun kill(name: String) {
        vms.remove(name)?.kill()
    }

    suspend fun stop(name: String) {
        vms.remove(name)?.stop()
    }

    fun pause(
        name: String,
        paused: Boolean,
    ) {
        vms[name]?.pause(paused)
    }

    val running: Set<String> get() = vms.keys.toSet()

    /** The store is away for [away] and comes back from a copy that is [age] old. */
    suspend fun drill(
        age: Duration,
        away: Duration,
    ) {
        network.outage = true
        val copy = copies[(copies.size - 1 - (age / COPY_INTERVAL).toInt()).coerceAtLeast(0)]
        delay(away)
        store.restore(copy)
        copies.clear()
        copies += copy
        network.outage = false
    }

    /** What the platform has received that it must not receive; empty if there is nothing. */
    fun violations(): List<String> = differentCounts() + sharedTokens() + decreasingTokens() + alternatingHolders()

    private fun differentCounts() =
        reports
            .groupBy { it.report.window }
            .filterValues { calls -> calls.distinctBy { it.report.requests }.size > 1 }
            .map { (_, calls) -> "different counts: $calls" }

    private fun sharedTokens() =
        reports
            .groupBy { it.token }
            .filterValues { calls -> calls.distinctBy { it.holder }.size > 1 }
            .map { (_, calls) -> "shared token: $calls" }

    private fun decreasingTokens() =
        reports.zipWithNext().filter { (earlier, later) -> later.token < earlier.token }.map { "lower token: $it" }

    private fun alternatingHolders() =
        reports.windowed(3).mapNotNull { (first, second, third) ->
            val alternates = first.holder == third.holder && first.holder != second.holder
            "alternating holders: $first, $second, $third".takeIf { alternates && third.atMs - first.atMs <= LEASE_MS }
        }

    private fun settings(name: String) =
        GatewaySettings(
            vmId = VmId(name),
            region = RegionId("r"),
            failureDomain = FailureDomainId("d"),
            ip = name,
            callerAddress = name,
            readinessAddress = name,
            peerPorts = listOf(1),
            platformUrl = "http://store",
            leaseSeconds = LEASE_MS / 1000.0,
            usageWindowSeconds = WINDOW.inWholeMilliseconds / 1000.0,
            usageDueSeconds = DUE_S,
        )

    companion object {
        private const val RECORDS = "vms/"
        private const val LEASE_MS = 3000L

        /** Long enough that the successor of a lost holder reports windows that the holder may have reported. */
        private const val DUE_S = 20.0
        private const val WINDOWS_IN_RECORD = 5L
        private const val KEPT_COPIES = 60
        private val ORGANISATION = OrganisationId("organisation")
        private val COPY_INTERVAL = 250.milliseconds
        private val RECORD = 2.seconds
        private val STOP_TIMEOUT = 600.milliseconds

        /** Length of a usage window. */
        val WINDOW = 5.seconds
    }
}
