package io.tarragonport.tool.soak

import io.tarragonport.standin.fleet.StoreFault
import io.tarragonport.tool.fault.Disturbance
import io.tarragonport.tool.fault.ScheduledFault
import io.tarragonport.tool.fault.VmProcess
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.concurrent.thread

/** Injects the faults of a schedule, each on its own thread so that they can overlap. */
class SoakInjector(
    private val fleet: SoakFleet,
    private val invariants: SoakInvariants,
) {
    private val faultThreads = ConcurrentLinkedQueue<Thread>()
    private val reservedVms = mutableSetOf<VmProcess>()

    /** Injects the faults of [schedule] at their times and waits until all have ended. */
    fun run(schedule: List<ScheduledFault<SoakFault>>) {
        val start = System.nanoTime()
        schedule.forEach { fault ->
            val elapsed = (System.nanoTime() - start) / NANOS_PER_MS
            Thread.sleep((fault.atMs - elapsed).coerceAtLeast(0))
            println("  ${fault.atMs} ms: ${fault.kind} target ${fault.target} for ${fault.durationMs} ms")
            faultThreads += thread(name = "fault-${fault.atMs}") { inject(fault) }
        }
        faultThreads.forEach { it.join() }
    }

    private fun inject(fault: ScheduledFault<SoakFault>) {
        when (fault.kind) {
            SoakFault.KILL_VM -> onVm(fault) { kill(it, fault.durationMs / VM_DOWNTIME_DIVISOR) }
            SoakFault.FREEZE_VM -> onVm(fault) { freeze(it, fault.durationMs) }
            SoakFault.STOP_VM -> onVm(fault, ::stop)
            SoakFault.HANG_UP_VM -> onVm(fault) { it.reloadSettings() }
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
            SoakFault.SPOIL_ANSWERS -> injectResponseFaults(fault)
            SoakFault.REPLACE_KEY -> synchronized(fleet.keys) { fleet.keys.replaceOldest() }
            SoakFault.CONFIGURATION_STORM -> synchronized(fleet.keys) { fleet.keys.writeBurst() }
        }
    }

    /** Runs [action] on the target VM; skips it if another fault already stops, kills or freezes that VM. */
    private fun onVm(
        fault: ScheduledFault<SoakFault>,
        action: (VmProcess) -> Unit,
    ) {
        val vm = fleet.vms[fault.target % fleet.vms.size]
        if (reserve(vm)) withReserved(vm, action)
    }

    private fun reserve(vm: VmProcess): Boolean = synchronized(reservedVms) { reservedVms.add(vm) }

    private fun withReserved(
        vm: VmProcess,
        action: (VmProcess) -> Unit,
    ) {
        try {
            invariants.alive.observe(vm.alive) { "process of ${vm.id} ended unexpectedly" }
            action(vm)
        } finally {
            synchronized(reservedVms) { reservedVms.remove(vm) }
        }
    }

    private fun killAll() =
        fleet.vms
            .filter { reserve(it) }
            .map { vm -> thread { withReserved(vm) { kill(it, downMs = 0) } } }
            .forEach { it.join() }

    private fun kill(
        vm: VmProcess,
        downMs: Long,
    ) {
        val disturbance = vm.beginDisturbance(Disturbance.KILLED)
        vm.kill()
        Thread.sleep(downMs)
        restart(vm)
        disturbance.finish()
    }

    private fun freeze(
        vm: VmProcess,
        frozenMs: Long,
    ) {
        val disturbance = vm.beginDisturbance(Disturbance.FROZEN)
        vm.freeze()
        Thread.sleep(frozenMs)
        vm.resume()
        disturbance.finish()
    }

    private fun stop(vm: VmProcess) {
        val disturbance = vm.beginDisturbance(Disturbance.RESTARTED)
        val status = vm.stop(SoakFleet.STOP_SECONDS.toLong() + 1)
        invariants.gracefulStops.observe(status == 0) { "${vm.id}: exit status $status" }
        if (status == null) {
            vm.beginDisturbance(Disturbance.KILLED).also { vm.kill() }.finish()
        }
        restart(vm)
        disturbance.finish()
    }

    private fun restart(vm: VmProcess) {
        vm.start()
        fleet.awaitReady(vm)
    }

    private fun onStoreLink(
        fault: ScheduledFault<SoakFault>,
        kind: LinkFault,
    ) {
        val vm = fleet.vms[fault.target % fleet.vms.size]
        val disturbance = vm.beginDisturbance(Disturbance.CUT)
        kind.begin(vm.link)
        Thread.sleep(fault.durationMs)
        kind.end(vm.link)
        disturbance.finish()
    }

    private fun onStore(
        fault: ScheduledFault<SoakFault>,
        kind: StoreFault,
    ) = synchronized(fleet.store) {
        val disturbance = fleet.storeDisturbances.begin(kind.name)
        fleet.store.fault = kind
        Thread.sleep(fault.durationMs)
        fleet.store.fault = StoreFault.NONE
        // Watches that started during the fault get no response; the disturbance lasts until their clients time out.
        if (kind == StoreFault.SILENT_WATCHES) Thread.sleep(SILENT_WATCH_MS)
        disturbance.finish()
    }

    private fun targetServer(fault: ScheduledFault<SoakFault>): SoakServer? {
        val available = fleet.servers.filter { it.leavingSince == null }
        return available.getOrNull(fault.target % available.size.coerceAtLeast(1))
    }

    private fun onServerLink(
        fault: ScheduledFault<SoakFault>,
        kind: LinkFault,
    ) {
        val server = targetServer(fault) ?: return
        server.linkFaulty = true
        kind.begin(server.link)
        Thread.sleep(fault.durationMs)
        kind.end(server.link)
        server.linkFaulty = false
    }

    private fun injectResponseFaults(fault: ScheduledFault<SoakFault>) {
        val server = targetServer(fault) ?: return
        server.faultShare = RESPONSE_FAULT_SHARE
        Thread.sleep(fault.durationMs)
        server.faultShare = 0.0
    }

    /** The server is no longer reachable; three heartbeats later its entry is removed and a new server starts. */
    private fun crash(fault: ScheduledFault<SoakFault>) {
        val server = targetServer(fault) ?: return
        server.linkFaulty = true
        server.link.cut = true
        Thread.sleep(ENTRY_EXPIRY_MS)
        fleet.remove(server)
        fleet.startServer(server.service)
    }

    /** A replacement starts, then the server is registered as draining and is removed after the drain time. */
    private fun drain(fault: ScheduledFault<SoakFault>) {
        val server = targetServer(fault) ?: return
        fleet.startServer(server.service)
        server.register(fleet.store, state = "draining")
        server.leavingSince = RequestHistory.now()
        Thread.sleep(DRAINING_MS)
        invariants.leaving.observe(true)
        fleet.remove(server)
    }

    private companion object {
        const val NANOS_PER_MS = 1_000_000L

        /** A killed VM is down for the fault's duration divided by this; its start takes seconds in addition. */
        const val VM_DOWNTIME_DIVISOR = 4

        const val RESPONSE_FAULT_SHARE = 0.3

        /** Three heartbeats of 1.2 s. */
        const val ENTRY_EXPIRY_MS = 3_600L

        /** The drain time of the deployment configurations (2 s) plus a margin of 1 s. */
        const val DRAINING_MS = 3_000L

        /** Longest timeout of a watch, including the client's margin. */
        const val SILENT_WATCH_MS = 3_500L
    }
}
