package io.tarragonport.tool.bench

import org.kohsuke.args4j.Option
import java.io.File

/** Command-line options of `bin/policy-bench`. */
class BenchCommand {
    @Option(name = "--seed", usage = "random seed of a single run; the first seed with --all")
    var seed: Long = 1

    @Option(name = "--seeds", usage = "number of seeds with --all")
    var seeds: Int = 5

    @Option(name = "--scenario", usage = "scenario to run; with --all, run only this one")
    var scenario: String? = null

    @Option(
        name = "--policy",
        usage = "tarragonport, round-robin, least-outstanding or first-come; with --all, run only this one",
    )
    var policy: String? = null

    @Option(name = "--load", usage = "offered load as a multiple of the pool's capacity; with --all, run only this one")
    var load: Double? = null

    @Option(name = "--deployment", usage = "chimeneas, orahovica or large")
    var deployment: String = Deployment.CHIMENEAS.label

    @Option(name = "--cheap-share", usage = "share of the pool's servers that are cheap and can be reclaimed")
    var cheapShare: Double = BenchOptions.DEFAULT_CHEAP_SHARE

    @Option(name = "--estimate-scale", usage = "factor applied to the estimated output lengths")
    var estimateScale: Double = 1.0

    @Option(name = "--threads", usage = "number of concurrent runs with --all")
    var threads: Int = 4

    @Option(name = "--json", usage = "print results as JSON")
    var json: Boolean = false

    @Option(name = "--all", usage = "run every scenario, load and policy with several seeds and print the medians")
    var runAll: Boolean = false

    @Option(name = "--report", usage = "write the charts and tables of --all to this HTML file")
    var reportFile: File? = null

    @Option(name = "--decision-cost", usage = "measure time and allocated memory for each dispatch decision")
    var measureDecisionCost: Boolean = false

    /** The options of a single run. */
    fun singleRun() =
        BenchOptions(
            selectedScenario() ?: Scenario.STEADY,
            selectedPolicy() ?: BenchPolicy.TARRAGONPORT,
            selectedDeployment(),
            load ?: 1.0,
            seed,
            cheapShare,
            estimateScale,
        )

    /** The options of all runs of `--all`. */
    fun allRuns(): List<BenchOptions> {
        val scenarios = selectedScenario()?.let { listOf(it) } ?: Scenario.entries
        val loads = load?.let { listOf(it) } ?: DEFAULT_LOADS
        val policies = selectedPolicy()?.let { listOf(it) } ?: BenchPolicy.entries
        return scenarios.flatMap { scenario ->
            loads.flatMap { load ->
                policies.flatMap { policy ->
                    (0 until seeds).map {
                        BenchOptions(
                            scenario,
                            policy,
                            selectedDeployment(),
                            load,
                            seed + it,
                            cheapShare,
                            estimateScale,
                        )
                    }
                }
            }
        }
    }

    private fun selectedScenario(): Scenario? =
        scenario?.let { name ->
            requireNotNull(Scenario.entries.find { it.label == name }) { "unknown scenario $name" }
        }

    private fun selectedPolicy(): BenchPolicy? =
        policy?.let { name -> requireNotNull(BenchPolicy.entries.find { it.label == name }) { "unknown policy $name" } }

    private fun selectedDeployment(): Deployment =
        requireNotNull(Deployment.entries.find { it.label == deployment }) { "unknown deployment $deployment" }

    companion object {
        /** Loads of `--all`, as multiples of the pool's capacity. */
        val DEFAULT_LOADS = listOf(0.7, 1.0, 1.5, 2.0)
    }
}
