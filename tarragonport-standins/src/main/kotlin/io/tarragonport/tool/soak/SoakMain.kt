package io.tarragonport.tool.soak

import io.tarragonport.tool.ToolArguments
import io.tarragonport.tool.fault.FaultSchedule
import org.kohsuke.args4j.Option
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.system.exitProcess

/**
 * Runs gateways as processes before a stand-in of the users' platform, injects faults from outside, and checks what
 * callers, backend servers and the platform see; exit status 1 on a breach.
 *
 * The same seed gives the same schedule of faults.
 */
class SoakMain {
    @Option(name = "--seed", usage = "seed of faults and traffic")
    private var seed: Long = 1

    @Option(name = "--seconds", usage = "length of the faults and the traffic")
    private var seconds: Int = DEFAULT_SECONDS

    @Option(name = "--vms", usage = "number of gateway processes")
    private var vms: Int = DEFAULT_VMS

    @Option(name = "--callers", usage = "number of callers that send requests side by side")
    private var callers: Int = DEFAULT_CALLERS

    private val invariants = SoakInvariants()

    private fun run(): Int {
        println("soak with seed $seed, $seconds s, $vms VMs, $callers callers")
        SoakFleet(seed, vms, invariants).use { fleet ->
            println("  logs are in ${fleet.folder}")
            fleet.start()
            traffic(fleet)
            recover(fleet)
            DutyCheck(invariants).check(fleet.store.dutyCalls.toList())
            return report(fleet)
        }
    }

    private fun traffic(fleet: SoakFleet) {
        var going = true
        val threads =
            List(callers) { index ->
                val caller = SoakCaller(fleet, fleet.ledger, invariants, Random(seed * CALLER_SEEDS + index))
                thread(name = "caller-$index") { caller.run { going } }
            }
        SoakInjector(fleet, invariants).run(FaultSchedule.draw(SoakFault.entries, seed, seconds))
        going = false
        threads.forEach { it.join() }
    }

    /** After the faults each VM must serve each kind of request again. */
    private fun recover(fleet: SoakFleet) {
        val caller = SoakCaller(fleet, fleet.ledger, invariants, Random(seed))
        fleet.vms.forEach { vm ->
            invariants.alive.observe(vm.alive) { "${vm.id} ended by itself" }
            RequestKind.entries.forEach { kind ->
                val end = System.nanoTime() + RECOVERY_NANOS
                var served = false
                while (!served && System.nanoTime() < end) {
                    served = caller.exchange(kind, vm)
                    if (!served) Thread.sleep(RunLedger.POLL.inWholeMilliseconds)
                }
                invariants.recovery.observe(served) { "${vm.id} does not serve $kind" }
            }
        }
    }

    private fun report(fleet: SoakFleet): Int {
        val requests = fleet.ledger.all
        println("requests: ${requests.size}, run at least once: ${requests.count { it.runs > 0 }}")
        println("refused: ${requests.count { it.refused }}, spoiled by servers: ${requests.count { it.spoiled }}")
        println("duty calls: ${fleet.store.dutyCalls.size}")
        invariants.all.flatMap { it.lines() }.forEach(::println)
        val breached = invariants.all.filter { it.breaches > 0 }
        println("seed $seed: ${breached.size} of ${invariants.all.size} invariants breached")
        return if (breached.isEmpty()) 0 else 1
    }

    companion object {
        private const val DEFAULT_SECONDS = 60
        private const val DEFAULT_VMS = 3
        private const val DEFAULT_CALLERS = 16
        private const val CALLER_SEEDS = 1_000L

        /** Bound of the deployments' sheets for serving again after a loss of all VMs (`recover_s`). */
        private const val RECOVERY_NANOS = 12_000_000_000L

        init {
            System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host")
        }

        @JvmStatic
        fun main(arguments: Array<String>) {
            exitProcess(ToolArguments.parse(SoakMain(), arguments).run())
        }
    }
}
