package io.tarragonport.tool.soak

import io.tarragonport.standin.fleet.StoreFault
import io.tarragonport.tool.fault.Disturbance
import io.tarragonport.tool.fault.ScheduledFault
import io.tarragonport.tool.fault.VmProcess
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.concurrent.thread

/** Injects the faults of a schedule, each on a thread of its own, so that they overlap. */
class SoakInjector(
    private val fleet: SoakFleet,
    private val invariants: SoakInvariants,
) {
    private val running = ConcurrentLinkedQueue<Thread>()
    private val busyVms = mutableSetOf<VmProcess>()

    /** Injects [schedule] in its times and waits until all faults have ended. */
    fun run(schedule: List<ScheduledFault<SoakFault>>) {
        val start = System.nanoTime()
        schedule.forEach { fault ->
            val passed = (System.nanoTime() - start) / NANOS_PER_MS
            Thread.sleep((fault.atMs - passed).coerceAtLeast(0))
            println("  ${fault.atMs} ms: ${fault.kind} target ${fault.target} for ${fault.durationMs} ms")
            running += thread(name = "fault-${fault.atMs}") { inject(fault) }
        }
        running.forEach { it.join() }
    }

    private fun inject(fault: ScheduledFault<SoakFault>) {
        when (fault.kind) {
            SoakFault.KILL_VM -> onVm(fault) { kill(it, fault.durationMs / VM_DOWN_SHARE) }
            SoakFault.FREEZE_VM -> onVm(fault) { freeze(it, fault.durationMs) }
            SoakFault.STOP_VM -> onVm(fault, ::stop)
            SoakFault.HANG_UP_VM -> onVm(fault) { it.hangUp() }
            SoakFault.KILL_ALL_VMS -> killAll()
            SoakFault.CUT_STORE -> onStoreLink(fault, LinkFault.CUT)
            SoakFault.SILENT_STORE -> onStoreLink(fault, LinkFault.SILENT)
            SoakFault.ONE_WAY_STORE -> onStoreLink(fault, LinkFault.ONE_WAY)
            SoakFault.SLOW_STORE -> onStoreLink(fault, LinkFault.SLOW)
            SoakFault.RESET_STORE_CONNECTIONS -> onStoreLink(fault, LinkFault.RESET)
            SoakFault.BUSY_STORE -> onStore(fault, StoreFault.BUSY)
            SoakFault.LOST_STORE_ANSWERS -> onStore(fault, StoreFault.LOST_ANSWERS)
            SoakFault.SILENT_WATCHES -> onStore(fault, StoreFault.SILENT_WATCHES)
            SoakFault.COMPACT_STORE -> fleet.store.state.compact()
            SoakFault.CRASH_SERVER -> crash(fault)
            SoakFault.DRAIN_SERVER -> drain(fault)
            SoakFault.CUT_SERVER -> onServerLink(fault, LinkFault.CUT)
            SoakFault.SILENT_SERVER -> onServerLink(fault, LinkFault.SILENT)
            SoakFault.ONE_WAY_SERVER -> onServerLink(fault, LinkFault.ONE_WAY)
            SoakFault.SLOW_SERVER -> onServerLink(fault, LinkFault.SLOW)
            SoakFault.RESET_SERVER_CONNECTIONS -> onServerLink(fault, LinkFault.RESET)
            SoakFault.SPOIL_ANSWERS -> spoilAnswers(fault)
            SoakFault.REPLACE_KEY -> synchronized(fleet.keys) { fleet.keys.replaceOldest() }
            SoakFault.CONFIGURATION_STORM -> synchronized(fleet.keys) { fleet.keys.storm() }
        }
    }

    /** Runs [body] with a VM that no other fault stops, kills or freezes; does nothing if there is none. */
    private fun onVm(
        fault: ScheduledFault<SoakFault>,
        body: (VmProcess) -> Unit,
    ) {
        val vm = fleet.vms[fault.target % fleet.vms.size]
        if (claim(vm)) claimed(vm, body)
    }

    private fun claim(vm: VmProcess): Boolean = synchronized(busyVms) { busyVms.add(vm) }

    private fun claimed(
        vm: VmProcess,
        body: (VmProcess) -> Unit,
    ) {
        try {
            invariants.alive.observe(vm.alive) { "${vm.id} ended by itself" }
            body(vm)
        } finally {
            synchronized(busyVms) { busyVms.remove(vm) }
        }
    }

    private fun killAll() =
        fleet.vms
            .filter { claim(it) }
            .map { vm -> thread { claimed(vm) { kill(it, downMs = 0) } } }
            .forEach { it.join() }

    private fun kill(
        vm: VmProcess,
        downMs: Long,
    ) {
        val span = vm.disturb(Disturbance.KILLED)
        vm.kill()
        Thread.sleep(downMs)
        restarted(vm)
        span.finish()
    }

    private fun freeze(
        vm: VmProcess,
        frozenMs: Long,
    ) {
        val span = vm.disturb(Disturbance.FROZEN)
        vm.freeze()
        Thread.sleep(frozenMs)
        vm.resume()
        span.finish()
    }

    private fun stop(vm: VmProcess) {
        val span = vm.disturb(Disturbance.RESTARTED)
        val status = vm.stop(SoakFleet.STOP_SECONDS.toLong() + 1)
        invariants.graceful.observe(status == 0) { "${vm.id} ended with $status" }
        if (status == null) {
            vm.disturb(Disturbance.KILLED).also { vm.kill() }.finish()
        }
        restarted(vm)
        span.finish()
    }

    private fun restarted(vm: VmProcess) {
        vm.start()
        fleet.awaitReady(vm)
    }

    private fun onStoreLink(
        fault: ScheduledFault<SoakFault>,
        kind: LinkFault,
    ) {
        val vm = fleet.vms[fault.target % fleet.vms.size]
        val span = vm.disturb(Disturbance.CUT)
        kind.begin(vm.link)
        Thread.sleep(fault.durationMs)
        kind.end(vm.link)
        span.finish()
    }

    private fun onStore(
        fault: ScheduledFault<SoakFault>,
        kind: StoreFault,
    ) = synchronized(fleet.store) {
        val span = fleet.storeDisturbances.begin(kind.name)
        fleet.store.fault = kind
        Thread.sleep(fault.durationMs)
        fleet.store.fault = StoreFault.NONE
        // Watches that began in silence are answered only when their clients have given them up.
        if (kind == StoreFault.SILENT_WATCHES) Thread.sleep(SILENT_WATCH_MS)
        span.finish()
    }

    private fun server(fault: ScheduledFault<SoakFault>): SoakServer? {
        val sound = fleet.servers.filter { it.leavingSince == null }
        return sound.getOrNull(fault.target % sound.size.coerceAtLeast(1))
    }

    private fun onServerLink(
        fault: ScheduledFault<SoakFault>,
        kind: LinkFault,
    ) {
        val server = server(fault) ?: return
        server.linkFaulty = true
        kind.begin(server.link)
        Thread.sleep(fault.durationMs)
        kind.end(server.link)
        server.linkFaulty = false
    }

    private fun spoilAnswers(fault: ScheduledFault<SoakFault>) {
        val server = server(fault) ?: return
        server.spoils = SPOILT_SHARE
        Thread.sleep(fault.durationMs)
        server.spoils = 0.0
    }

    /** The server ends at once; its entry goes three heartbeats later and another server comes. */
    private fun crash(fault: ScheduledFault<SoakFault>) {
        val server = server(fault) ?: return
        server.linkFaulty = true
        server.link.cut = true
        Thread.sleep(LAPSE_MS)
        fleet.ended(server)
        fleet.startServer(server.service)
    }

    /** The server says that it leaves, serves for a while longer, and another one takes its place first. */
    private fun drain(fault: ScheduledFault<SoakFault>) {
        val server = server(fault) ?: return
        fleet.startServer(server.service)
        server.register(fleet.store, state = "draining")
        server.leavingSince = RunLedger.now()
        Thread.sleep(DRAINING_MS)
        invariants.leaving.observe(true)
        fleet.ended(server)
    }

    private companion object {
        const val NANOS_PER_MS = 1_000_000L

        /** A killed VM is down for this part of the fault's time; a restart takes seconds anyway. */
        const val VM_DOWN_SHARE = 4

        const val SPOILT_SHARE = 0.3

        /** Three heartbeats of 1.2 s. */
        const val LAPSE_MS = 3_600L

        /** Drain time of the deployments' sheets and a second of grace. */
        const val DRAINING_MS = 3_000L

        /** Longest wait of a watch with the client's slack. */
        const val SILENT_WATCH_MS = 3_500L
    }
}
