package io.tarragonport.tool.soak

import io.tarragonport.tool.ToolArguments
import io.tarragonport.tool.fault.FaultSchedule
import org.kohsuke.args4j.Option
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.system.exitProcess
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Runs gateway processes against a stand-in of the platform, injects faults from outside the processes and checks the
 * invariants at callers, backend servers and the platform. The exit status is 1 if an invariant was breached.
 *
 * The same seed produces the same fault schedule.
 */
class SoakMain {
    @Option(name = "--seed", usage = "seed of the fault schedule and the traffic")
    private var seed: Long = 1

    @Option(name = "--seconds", usage = "duration of fault injection and traffic in seconds")
    private var seconds: Int = DEFAULT_SECONDS

    @Option(name = "--vms", usage = "number of gateway processes")
    private var vms: Int = DEFAULT_VMS

    @Option(name = "--callers", usage = "number of concurrent callers")
    private var callers: Int = DEFAULT_CALLERS

    private val invariants = SoakInvariants()

    private fun run(): Int {
        println("soak with seed $seed, $seconds s, $vms VMs, $callers callers")
        SoakFleet(seed, vms, invariants).use { fleet ->
            println("  logs are in ${fleet.folder}")
            fleet.start()
            runTraffic(fleet)
            checkRecovery(fleet)
            DutyCheck(invariants).check(fleet.store.dutyCalls.toList())
            return printReport(fleet)
        }
    }

    private fun runTraffic(fleet: SoakFleet) {
        var running = true
        val threads =
            List(callers) { index ->
                val caller = SoakCaller(fleet, fleet.history, invariants, Random(seed * CALLER_SEED_STRIDE + index))
                thread(name = "caller-$index") { caller.run { running } }
            }
        SoakInjector(fleet, invariants).run(FaultSchedule.draw(SoakFault.entries, seed, seconds))
        running = false
        threads.forEach { it.join() }
    }

    /** After the last fault each VM must serve each kind of request again. */
    private fun checkRecovery(fleet: SoakFleet) {
        val caller = SoakCaller(fleet, fleet.history, invariants, Random(seed))
        fleet.vms.forEach { vm ->
            invariants.alive.observe(vm.alive) { "process of ${vm.id} ended unexpectedly" }
            RequestKind.entries.forEach { kind ->
                val deadline = System.nanoTime() + RECOVERY_LIMIT_NANOS
                var served = false
                while (!served && System.nanoTime() < deadline) {
                    served = caller.exchange(kind, vm)
                    if (!served) Thread.sleep(RequestHistory.POLL_INTERVAL.inWholeMilliseconds)
                }
                invariants.recovery.observe(served) {
                    "${vm.id} did not serve $kind within ${RECOVERY_LIMIT_NANOS.nanoseconds} after the faults"
                }
            }
        }
    }

    private fun printReport(fleet: SoakFleet): Int {
        val requests = fleet.history.requests
        println("requests: ${requests.size}, executed at least once: ${requests.count { it.executions > 0 }}")
        println(
            "reported as not executed: ${requests.count { it.refused }}, " +
                "affected by server faults: ${requests.count { it.affectedByFault }}",
        )
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
        private const val CALLER_SEED_STRIDE = 1_000L

        /** Time limit in the deployment configurations for the recovery after all VMs were lost (`recover_s`). */
        private const val RECOVERY_LIMIT_NANOS = 12_000_000_000L

        init {
            System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host")
        }

        @JvmStatic
        fun main(arguments: Array<String>) {
            exitProcess(ToolArguments.parse(SoakMain(), arguments).run())
        }
    }
}
