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

    @Option(name = "--disable", usage = "protection to disable, to show that the checks detect its absence")
    private var disabledProtection: String? = null

    private suspend fun run(): Int {
        val protection = disabledProtection
        if (protection != null && protection !in DisabledProtections.BY_NAME) {
            System.err.println(
                "--disable: expected one of ${DisabledProtections.BY_NAME.keys.joinToString()}, got \"$protection\"",
            )
            return ToolArguments.INCORRECT_USAGE
        }
        println("fault run with seed $seed, $seconds s, $vms VMs" + (disabledProtection?.let { ", without $it" } ?: ""))
        return FaultRunFleet(seed, vms, disabledProtection).use { fleet ->
            println("  logs are in ${fleet.folder}")
            FaultRunClient().use { client -> run(fleet, client) }
        }
    }

    private suspend fun run(
        fleet: FaultRunFleet,
        client: FaultRunClient,
    ): Int {
        val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
        val operators = List(2) { SimulatedOperator(fleet.platformPort, "operator-$it") }
        check(operators.first().apply(fleet.document)) { "writing the initial configuration to the platform failed" }
        fleet.start()
        val balancer = FaultRunBalancer(fleet.vms, client, Random(seed))
        val traffic = FaultRunTraffic(fleet, balancer, client, seed)
        val probe = KeyProbe(fleet, client, operators.first(), seed)
        val injector = FaultInjector(fleet, operators, client)
        scope.launch { balancer.run() }
        balancer.nextReadyVm()
        val callerJobs = traffic.start(scope)
        val probeJob = scope.launch { probe.run(scope) }
        injector.run(scope, FaultSchedule.draw(FaultKind.entries, seed, seconds))
        injector.clearFaults()
        delay(RECOVERY_DELAY)
        // Daemons with a disabled protection have no graceful stop.
        if (disabledProtection == null) injector.restartAll()
        traffic.stopping = true
        withTimeoutOrNull(CALLER_END_TIMEOUT) { callerJobs.joinAll() }
            ?: println("  some callers did not end within $CALLER_END_TIMEOUT")
        probeJob.cancel()
        probe.recheckWithdrawnKeys()
        awaitUsageReports()
        val metrics = fleet.vms.mapNotNull { client.metrics(it) }
        scope.cancel()
        operators.forEach { it.close() }
        return printReport(FaultRunReport(fleet, traffic, injector, probe, metrics), traffic, injector)
    }

    /** Waits until the usage window in which the traffic ended has been closed and reported. */
    private suspend fun awaitUsageReports() {
        val now = Clock.System.now().epochSeconds
        delay((USAGE_WINDOW_SECONDS - now % USAGE_WINDOW_SECONDS + USAGE_REPORT_DELAY_SECONDS).seconds)
    }

    private fun printReport(
        report: FaultRunReport,
        traffic: FaultRunTraffic,
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
        val failed = invariants.filterNot { it.passed }
        println("seed $seed: ${invariants.size - failed.size} of ${invariants.size} invariants checked without breach")
        return if (failed.isEmpty()) 0 else 1
    }

    companion object {
        private const val DEFAULT_SECONDS = 60
        private const val DEFAULT_VMS = 4
        private const val USAGE_WINDOW_SECONDS = 60
        private const val USAGE_REPORT_DELAY_SECONDS = 12
        private val RECOVERY_DELAY = 12.seconds
        private val CALLER_END_TIMEOUT = 60.seconds

        @JvmStatic
        fun main(arguments: Array<String>) {
            val command = ToolArguments.parse(FaultRunMain(), arguments)
            exitProcess(runBlocking { command.run() })
        }
    }
}
