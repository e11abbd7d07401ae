package io.tarragonport.tool.fault

import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.standin.engine.EngineFaults
import io.tarragonport.standin.engine.ServiceFaults
import io.tarragonport.standin.platform.Faults
import io.tarragonport.standin.platform.PlatformInterface
import io.tarragonport.standin.platform.ReclaimRequest
import io.tarragonport.standin.platform.RestoreRequest
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Carries out the schedule against the fleet. At least two VMs stay undisturbed by kills, freezes and restarts at any
 * time.
 */
class FaultInjector(
    private val fleet: FaultFleet,
    private val operators: List<OperatorActor>,
    private val caller: FaultCaller,
) {
    /** Spans in which a reclaimed server must get no new work: engine id, from, to. */
    class LeavingSpan(
        val engine: String,
        val from: ComparableTimeMark,
        var to: ComparableTimeMark?,
    )

    private val busy = mutableSetOf<VmProcess>()

    val injected = ConcurrentLinkedQueue<ScheduledFault<FaultKind>>()
    val leaving = ConcurrentLinkedQueue<LeavingSpan>()
    val races = InvariantCount("operators: exactly one of two racing operators wins, the other is told")
    val graceful = InvariantCount("graceful stop: exit status 0 in time")
    val rolling = InvariantCount("rolling restart: every VM ended with exit status 0 and came back")
    val rollingStart = AtomicReference<ComparableTimeMark?>(null)
    val kills: Int get() = injected.count { it.kind == FaultKind.KILL_VM }

    suspend fun run(
        scope: CoroutineScope,
        schedule: List<ScheduledFault<FaultKind>>,
    ) {
        val start = TimeSource.Monotonic.markNow()
        val faults =
            schedule.map { fault ->
                delay(fault.atMs.milliseconds - start.elapsedNow())
                scope.launch(Dispatchers.IO) { inject(fault) }
            }
        faults.joinAll()
    }

    /** Stops and starts the VMs one after the other, each once the one before is ready again. */
    suspend fun restartAll() {
        rollingStart.set(TimeSource.Monotonic.markNow())
        fleet.vms.forEach { vm ->
            val status = restart(vm)
            val back = caller.ready(vm)
            rolling.observe(status == 0 && back) { "${vm.id} ended with $status, ready again: $back" }
        }
    }

    /** A process that is stopped before it listens ends with another status, so a start counts as over when ready. */
    private suspend fun awaitReady(vm: VmProcess) {
        withTimeoutOrNull(READY_LIMIT) {
            while (!caller.ready(vm)) delay(READY_PAUSE)
        }
    }

    /** Ends every fault that lasts. */
    fun heal() {
        PlatformInterface.entries.forEach { fleet.platform.faults[it] = Faults() }
        fleet.vms.forEach {
            it.link.cut = false
            it.link.delayMs = 0
        }
        fleet.ledger.faults = ServiceFaults()
        (fleet.engines + fleet.spares).forEach { it.clearFaults() }
    }

    private suspend fun inject(fault: ScheduledFault<FaultKind>) {
        println("  ${fault.atMs} ms: ${fault.kind} target ${fault.target} for ${fault.durationMs} ms")
        injected += fault
        when (fault.kind) {
            FaultKind.KILL_VM -> onVm(fault) { vm -> kill(vm, fault) }
            FaultKind.FREEZE_VM -> onVm(fault) { vm -> freeze(vm, fault) }
            FaultKind.RESTART_VM -> onVm(fault) { vm -> restart(vm) }
            FaultKind.CUT_PLATFORM_LINK -> onVm(fault) { vm -> cut(vm, fault) }
            FaultKind.DELAY_PLATFORM_LINK -> delayLink(fault)
            FaultKind.PLATFORM_OUTAGE -> platform(fault, Faults(unavailable = true))
            FaultKind.PLATFORM_LOSES_ANSWERS -> platform(fault, Faults(loseAnswerShare = LOST_SHARE))
            FaultKind.PLATFORM_WATCH_STUCK -> platform(fault, Faults(watchStuck = true))
            FaultKind.ENGINE_CRASH -> engine(fault).crash()
            FaultKind.ENGINE_STRAGGLES -> spoil(fault, EngineFaults(straggleFactor = STRAGGLE_FACTOR))
            FaultKind.ENGINE_SPOILS_STREAMS -> spoil(fault, spoiledStreams(fault))
            FaultKind.SERVICE_DROPS_ANSWERS -> dropAnswers(fault)
            FaultKind.OPERATORS_RACE -> race(fault)
            FaultKind.DOMAIN_RECLAIM -> reclaim(fault)
        }
    }

    /** Skips the fault if too many VMs are disturbed already. */
    private suspend fun onVm(
        fault: ScheduledFault<FaultKind>,
        action: suspend (VmProcess) -> Unit,
    ) {
        val vm = fleet.vms[fault.target % fleet.vms.size]
        val taken = synchronized(busy) { busy.size < fleet.vms.size - UNDISTURBED && busy.add(vm) }
        if (!taken) return
        try {
            action(vm)
        } finally {
            synchronized(busy) { busy -= vm }
        }
    }

    private suspend fun kill(
        vm: VmProcess,
        fault: ScheduledFault<FaultKind>,
    ) {
        val span = vm.disturb(Disturbance.KILLED)
        vm.kill()
        delay(fault.durationMs / KILL_DIVISOR)
        vm.start()
        awaitReady(vm)
        span.finish()
    }

    private suspend fun freeze(
        vm: VmProcess,
        fault: ScheduledFault<FaultKind>,
    ) {
        val span = vm.disturb(Disturbance.FROZEN)
        vm.freeze()
        delay(fault.durationMs)
        vm.resume()
        span.finish()
    }

    private suspend fun restart(vm: VmProcess): Int? {
        val span = vm.disturb(Disturbance.RESTARTED)
        val status = withContext(Dispatchers.IO) { vm.stop(STOP_LIMIT_SECONDS) }
        graceful.observe(status == 0) { "${vm.id} ended with $status" }
        if (status == null) vm.kill()
        vm.start()
        awaitReady(vm)
        span.finish()
        return status
    }

    private suspend fun cut(
        vm: VmProcess,
        fault: ScheduledFault<FaultKind>,
    ) {
        val span = vm.disturb(Disturbance.CUT)
        vm.link.cut = true
        delay(fault.durationMs)
        vm.link.cut = false
        span.finish()
    }

    private suspend fun delayLink(fault: ScheduledFault<FaultKind>) {
        val link = fleet.vms[fault.target % fleet.vms.size].link
        link.delayMs = LINK_DELAY_MS
        delay(fault.durationMs)
        link.delayMs = 0
    }

    private suspend fun platform(
        fault: ScheduledFault<FaultKind>,
        faults: Faults,
    ) {
        PlatformInterface.entries.forEach { fleet.platform.faults[it] = faults }
        delay(fault.durationMs)
        PlatformInterface.entries.forEach { fleet.platform.faults[it] = Faults() }
    }

    private fun engine(fault: ScheduledFault<FaultKind>): EngineSlot = fleet.engines[fault.target % fleet.engines.size]

    private suspend fun spoil(
        fault: ScheduledFault<FaultKind>,
        faults: EngineFaults,
    ) {
        engine(fault).setFaults(faults)
        delay(fault.durationMs)
        engine(fault).clearFaults()
    }

    private fun spoiledStreams(fault: ScheduledFault<FaultKind>): EngineFaults {
        val position = SPOILED_TOKEN
        return when (fault.target % SPOILING_KINDS) {
            0 -> EngineFaults(wrongIdAtToken = position, remaining = SPOILED_STREAMS)
            1 -> EngineFaults(duplicateAtToken = position, remaining = SPOILED_STREAMS)
            2 -> EngineFaults(skipAtToken = position, remaining = SPOILED_STREAMS)
            3 -> EngineFaults(reorderAtToken = position, remaining = SPOILED_STREAMS)
            else -> EngineFaults(cutAtToken = position, remaining = SPOILED_STREAMS)
        }
    }

    private suspend fun dropAnswers(fault: ScheduledFault<FaultKind>) {
        val before = fault.target % 2 == 0
        fleet.ledger.faults = ServiceFaults(dropBefore = before, dropAfter = !before, remaining = DROPPED_CALLS)
        delay(fault.durationMs)
        fleet.ledger.faults = ServiceFaults()
    }

    /** Repeated while the platform is away, because nobody can win then. */
    private suspend fun race(fault: ScheduledFault<FaultKind>) {
        repeat(RACE_ATTEMPTS) {
            val outcomes =
                coroutineScope {
                    operators.mapIndexed { index, operator ->
                        async { operator.raceForWeights(1 + (fault.target + index) % MAXIMUM_WEIGHT) }
                    }
                }.awaitAll().filterNotNull()
            if (outcomes.size == operators.size) {
                races.observe(outcomes.any { it }) { "no operator won" }
                return
            }
            delay(RACE_PAUSE_MS)
        }
    }

    private suspend fun reclaim(fault: ScheduledFault<FaultKind>) {
        val domain = FaultDocument.DOMAINS[fault.target % FaultDocument.DOMAINS.size]
        val spare = fleet.cheapSpare(domain)
        fleet.platform.backend.reclaim(ReclaimRequest(FailureDomainId(domain), NOTICE_MS))
        val span = LeavingSpan(spare.id, TimeSource.Monotonic.markNow() + LEAVING_BOUND_MS.milliseconds, null)
        leaving += span
        delay(NOTICE_MS + RECLAIM_TIME_MS)
        span.to = TimeSource.Monotonic.markNow()
        fleet.platform.backend.restore(RestoreRequest(FailureDomainId(domain)))
    }

    private companion object {
        const val UNDISTURBED = 2
        const val LOST_SHARE = 0.5
        const val STRAGGLE_FACTOR = 8.0
        const val KILL_DIVISOR = 4
        const val STOP_LIMIT_SECONDS = 120L
        const val LINK_DELAY_MS = 400L
        const val SPOILED_TOKEN = 5
        const val SPOILED_STREAMS = 6
        const val SPOILING_KINDS = 5
        const val DROPPED_CALLS = 3
        const val MAXIMUM_WEIGHT = 9
        const val RACE_ATTEMPTS = 15
        const val RACE_PAUSE_MS = 1_000L
        val READY_LIMIT = 120.seconds
        val READY_PAUSE = 300.milliseconds
        const val NOTICE_MS = 8_000L
        const val RECLAIM_TIME_MS = 10_000L

        /** A leaving server gets no new work after a few seconds: 3 s by design, 2 s for the poll of the inventory. */
        const val LEAVING_BOUND_MS = 5_000L
    }
}
