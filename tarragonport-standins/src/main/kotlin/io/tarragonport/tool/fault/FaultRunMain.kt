package io.tarragonport.tool.fault

import io.tarragonport.tool.ToolArguments
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.kohsuke.args4j.Option
import kotlin.random.Random
import kotlin.system.exitProcess
import kotlin.time.Clock
import kotlin.time.Duration.Companion.seconds

/**
 * Runs daemons and stand-ins under random faults and checks the invariants. The exit status is 1 if an invariant was
 * breached or never checked.
 *
 * The same seed produces the same fault schedule.
 */
class FaultRunMain {
    @Option(name = "--seed", usage = "seed of the fault schedule and the traffic")
    private var seed: Long = 1

    @Option(name = "--seconds", usage = "duration of fault injection and traffic in seconds")
    private var seconds: Int = DEFAULT_SECONDS

    @Option(name = "--vms", usage = "number of daemon processes, at least 3")
    private var vms: Int = DEFAULT_VMS

    @Option(name = "--disable", usage = "protection to disable, to show that the matching invariant fails")
    private var disabled: String? = null

    private suspend fun run(): Int {
        val name = disabled
        if (name != null && name !in DisabledProtections.BY_NAME) {
            System.err.println("--disable takes one of ${DisabledProtections.BY_NAME.keys.joinToString()}")
            return ToolArguments.INCORRECT_USAGE
        }
        println("fault run with seed $seed, $seconds s, $vms VMs" + (disabled?.let { ", without $it" } ?: ""))
        return FaultFleet(seed, vms, disabled).use { fleet ->
            println("  logs are in ${fleet.folder}")
            FaultCaller().use { caller -> run(fleet, caller) }
        }
    }

    private suspend fun run(
        fleet: FaultFleet,
        caller: FaultCaller,
    ): Int {
        val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
        val operators = List(2) { OperatorClient(fleet.platformPort, "operator-$it") }
        check(operators.first().apply(fleet.document)) { "writing the initial configuration to the platform failed" }
        fleet.start()
        val balancer = FaultBalancer(fleet.vms, caller, Random(seed))
        val traffic = FaultTraffic(fleet, balancer, caller, seed)
        val probe = KeyProbe(fleet, caller, operators.first(), seed)
        val injector = FaultInjector(fleet, operators, caller)
        scope.launch { balancer.run() }
        balancer.nextReadyVm()
        val callers = traffic.start(scope)
        val probeJob = scope.launch { probe.run(scope) }
        injector.run(scope, FaultSchedule.draw(FaultKind.entries, seed, seconds))
        injector.clearFaults()
        delay(RECOVERY_DELAY)
        // Daemons with a disabled protection have no graceful stop.
        if (disabled == null) injector.restartAll()
        traffic.stopping = true
        withTimeoutOrNull(CALLER_TIMEOUT) { callers.joinAll() } ?: println("  some callers did not end within 60 s")
        probeJob.cancel()
        probe.recheckWithdrawnKeys()
        awaitUsageReports()
        val metrics = fleet.vms.mapNotNull { caller.metrics(it) }
        scope.cancel()
        operators.forEach { it.close() }
        return report(FaultReport(fleet, traffic, injector, probe, metrics), traffic, injector)
    }

    /** Waits until the usage window in which the traffic ended has been closed and reported. */
    private suspend fun awaitUsageReports() {
        val now = Clock.System.now().epochSeconds
        delay((WINDOW_SECONDS - now % WINDOW_SECONDS + REPORT_DELAY_SECONDS).seconds)
    }

    private fun report(
        report: FaultReport,
        traffic: FaultTraffic,
        injector: FaultInjector,
    ): Int {
        println("requests: " + traffic.records.groupingBy { it.kind }.eachCount())
        println(
            "outcomes: " +
                traffic.records.groupingBy { it.error ?: if (it.complete) "whole" else "broken" }.eachCount(),
        )
        println("faults: " + injector.injected.groupingBy { it.kind }.eachCount())
        val invariants = report.invariants()
        invariants.flatMap { it.lines() }.forEach(::println)
        val failed = invariants.filterNot { it.proved }
        println("seed $seed: ${invariants.size - failed.size} of ${invariants.size} invariants proved")
        return if (failed.isEmpty()) 0 else 1
    }

    companion object {
        private const val DEFAULT_SECONDS = 60
        private const val DEFAULT_VMS = 4
        private const val WINDOW_SECONDS = 60
        private const val REPORT_DELAY_SECONDS = 12
        private val RECOVERY_DELAY = 12.seconds
        private val CALLER_TIMEOUT = 60.seconds

        @JvmStatic
        fun main(arguments: Array<String>) {
            val command = ToolArguments.parse(FaultRunMain(), arguments)
            exitProcess(runBlocking { command.run() })
        }
    }
}
