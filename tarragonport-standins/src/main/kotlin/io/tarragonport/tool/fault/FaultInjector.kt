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
 * Injects the faults of a schedule into the fleet. At any time at least two VMs are not affected by a kill, freeze,
 * restart or cut link of the schedule.
 */
class FaultInjector(
    private val fleet: FaultRunFleet,
    private val operators: List<SimulatedOperator>,
    private val client: FaultRunClient,
) {
    /** An interval in which the reclaimed [engine] must receive no new requests; [to] is null while it lasts. */
    class LeavingInterval(
        val engine: String,
        val from: ComparableTimeMark,
        var to: ComparableTimeMark?,
    )

    private val reservedVms = mutableSetOf<VmProcess>()

    val injected = ConcurrentLinkedQueue<ScheduledFault<FaultKind>>()
    val leavingIntervals = ConcurrentLinkedQueue<LeavingInterval>()
    val operatorRaces =
        InvariantCount("operators: exactly one of two concurrent writes succeeds, the other operator is notified")
    val gracefulStops = InvariantCount("graceful stop: exit status 0 in time")
    val rollingRestart = InvariantCount("rolling restart: every VM ended with exit status 0 and became ready again")
    val rollingRestartStart = AtomicReference<ComparableTimeMark?>(null)
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

    /** Restarts the VMs one after the other, each after the previous one is ready again. */
    suspend fun restartAll() {
        rollingRestartStart.set(TimeSource.Monotonic.markNow())
        fleet.vms.forEach { vm ->
            val status = restart(vm)
            val ready = client.isReady(vm)
            rollingRestart.observe(status == 0 && ready) { "${vm.id}: exit status $status, ready again: $ready" }
        }
    }

    /**
     * Waits until [vm] is ready, at most [READY_TIMEOUT]. Without the wait, the next fault could stop a process that
     * does not listen yet, and such a process ends with a non-zero exit status.
     */
    private suspend fun awaitReady(vm: VmProcess) {
        withTimeoutOrNull(READY_TIMEOUT) {
            while (!client.isReady(vm)) delay(READY_POLL_INTERVAL)
        }
    }

    /** Ends all faults that are still in effect. */
    fun clearFaults() {
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
            FaultKind.CUT_PLATFORM_LINK -> onVm(fault) { vm -> cutLink(vm, fault) }
            FaultKind.DELAY_PLATFORM_LINK -> delayLink(fault)
            FaultKind.PLATFORM_OUTAGE -> injectPlatformFaults(fault, Faults(unavailable = true))
            FaultKind.PLATFORM_LOSES_ANSWERS ->
                injectPlatformFaults(fault, Faults(loseAnswerShare = LOST_RESPONSE_SHARE))
            FaultKind.PLATFORM_WATCH_STUCK -> injectPlatformFaults(fault, Faults(watchStuck = true))
            FaultKind.ENGINE_CRASH -> targetEngine(fault).crash()
            FaultKind.ENGINE_STRAGGLES -> applyEngineFaults(fault, EngineFaults(straggleFactor = STRAGGLE_FACTOR))
            FaultKind.ENGINE_SPOILS_STREAMS -> applyEngineFaults(fault, streamFaults(fault))
            FaultKind.SERVICE_DROPS_ANSWERS -> dropResponses(fault)
            FaultKind.OPERATORS_RACE -> raceOperators(fault)
            FaultKind.DOMAIN_RECLAIM -> reclaim(fault)
        }
    }

    /** Runs [action] on the target VM unless a fault affects it already or too few VMs would remain unaffected. */
    private suspend fun onVm(
        fault: ScheduledFault<FaultKind>,
        action: suspend (VmProcess) -> Unit,
    ) {
        val vm = fleet.vms[fault.target % fleet.vms.size]
        val reserved =
            synchronized(reservedVms) {
                reservedVms.size < fleet.vms.size - MINIMUM_UNDISTURBED_VMS && reservedVms.add(vm)
            }
        if (!reserved) return
        try {
            action(vm)
        } finally {
            synchronized(reservedVms) { reservedVms -= vm }
        }
    }

    private suspend fun kill(
        vm: VmProcess,
        fault: ScheduledFault<FaultKind>,
    ) {
        val disturbance = vm.beginDisturbance(Disturbance.KILLED)
        vm.kill()
        delay(fault.durationMs / KILL_DOWNTIME_DIVISOR)
        vm.start()
        awaitReady(vm)
        disturbance.finish()
    }

    private suspend fun freeze(
        vm: VmProcess,
        fault: ScheduledFault<FaultKind>,
    ) {
        val disturbance = vm.beginDisturbance(Disturbance.FROZEN)
        vm.freeze()
        delay(fault.durationMs)
        vm.resume()
        disturbance.finish()
    }

    private suspend fun restart(vm: VmProcess): Int? {
        val disturbance = vm.beginDisturbance(Disturbance.RESTARTED)
        val status = withContext(Dispatchers.IO) { vm.stop(STOP_TIMEOUT_SECONDS) }
        gracefulStops.observe(status == 0) { "${vm.id}: exit status $status" }
        if (status == null) vm.kill()
        vm.start()
        awaitReady(vm)
        disturbance.finish()
        return status
    }

    private suspend fun cutLink(
        vm: VmProcess,
        fault: ScheduledFault<FaultKind>,
    ) {
        val disturbance = vm.beginDisturbance(Disturbance.CUT)
        vm.link.cut = true
        delay(fault.durationMs)
        vm.link.cut = false
        disturbance.finish()
    }

    private suspend fun delayLink(fault: ScheduledFault<FaultKind>) {
        val link = fleet.vms[fault.target % fleet.vms.size].link
        link.delayMs = LINK_DELAY_MS
        delay(fault.durationMs)
        link.delayMs = 0
    }

    private suspend fun injectPlatformFaults(
        fault: ScheduledFault<FaultKind>,
        faults: Faults,
    ) {
        PlatformInterface.entries.forEach { fleet.platform.faults[it] = faults }
        delay(fault.durationMs)
        PlatformInterface.entries.forEach { fleet.platform.faults[it] = Faults() }
    }

    private fun targetEngine(fault: ScheduledFault<FaultKind>): EngineSlot =
        fleet.engines[fault.target % fleet.engines.size]

    private suspend fun applyEngineFaults(
        fault: ScheduledFault<FaultKind>,
        faults: EngineFaults,
    ) {
        targetEngine(fault).setFaults(faults)
        delay(fault.durationMs)
        targetEngine(fault).clearFaults()
    }

    private fun streamFaults(fault: ScheduledFault<FaultKind>): EngineFaults {
        val tokenIndex = FAULTY_TOKEN_INDEX
        return when (fault.target % STREAM_FAULT_KINDS) {
            0 -> EngineFaults(wrongIdAtToken = tokenIndex, remaining = FAULTY_STREAMS)
            1 -> EngineFaults(duplicateAtToken = tokenIndex, remaining = FAULTY_STREAMS)
            2 -> EngineFaults(skipAtToken = tokenIndex, remaining = FAULTY_STREAMS)
            3 -> EngineFaults(reorderAtToken = tokenIndex, remaining = FAULTY_STREAMS)
            else -> EngineFaults(cutAtToken = tokenIndex, remaining = FAULTY_STREAMS)
        }
    }

    private suspend fun dropResponses(fault: ScheduledFault<FaultKind>) {
        val beforeExecution = fault.target % 2 == 0
        fleet.ledger.faults =
            ServiceFaults(dropBefore = beforeExecution, dropAfter = !beforeExecution, remaining = DROPPED_CALLS)
        delay(fault.durationMs)
        fleet.ledger.faults = ServiceFaults()
    }

    /** Two operators write the same section. Retries while the platform is unavailable and no write can succeed. */
    private suspend fun raceOperators(fault: ScheduledFault<FaultKind>) {
        repeat(MAXIMUM_RACE_ATTEMPTS) {
            val outcomes =
                coroutineScope {
                    operators.mapIndexed { index, operator ->
                        async { operator.writeWeights(1 + (fault.target + index) % MAXIMUM_WEIGHT) }
                    }
                }.awaitAll().filterNotNull()
            if (outcomes.size == operators.size) {
                operatorRaces.observe(outcomes.any { it }) { "no operator succeeded" }
                return
            }
            delay(RACE_RETRY_DELAY_MS)
        }
    }

    private suspend fun reclaim(fault: ScheduledFault<FaultKind>) {
        val domain = FaultRunConfiguration.DOMAINS[fault.target % FaultRunConfiguration.DOMAINS.size]
        val spare = fleet.cheapSpare(domain)
        fleet.platform.backend.reclaim(ReclaimRequest(FailureDomainId(domain), RECLAIM_NOTICE_MS))
        val interval = LeavingInterval(spare.id, TimeSource.Monotonic.markNow() + LEAVING_GRACE_MS.milliseconds, null)
        leavingIntervals += interval
        delay(RECLAIM_NOTICE_MS + RECLAIM_DURATION_MS)
        interval.to = TimeSource.Monotonic.markNow()
        fleet.platform.backend.restore(RestoreRequest(FailureDomainId(domain)))
    }

    private companion object {
        const val MINIMUM_UNDISTURBED_VMS = 2
        const val LOST_RESPONSE_SHARE = 0.5
        const val STRAGGLE_FACTOR = 8.0

        /** A killed VM is down for the fault's duration divided by this; its start takes seconds in addition. */
        const val KILL_DOWNTIME_DIVISOR = 4

        const val STOP_TIMEOUT_SECONDS = 120L
        const val LINK_DELAY_MS = 400L
        const val FAULTY_TOKEN_INDEX = 5
        const val FAULTY_STREAMS = 6
        const val STREAM_FAULT_KINDS = 5
        const val DROPPED_CALLS = 3
        const val MAXIMUM_WEIGHT = 9
        const val MAXIMUM_RACE_ATTEMPTS = 15
        const val RACE_RETRY_DELAY_MS = 1_000L
        val READY_TIMEOUT = 120.seconds
        val READY_POLL_INTERVAL = 300.milliseconds
        const val RECLAIM_NOTICE_MS = 8_000L
        const val RECLAIM_DURATION_MS = 10_000L

        /** A leaving server may get new requests for 5 s: the limit of 3 s and the inventory poll interval of 2 s. */
        const val LEAVING_GRACE_MS = 5_000L
    }
}
