package io.tarragonport.tool.bench

import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlin.system.exitProcess

/** Main class of `bin/policy-bench`: compares dispatch policies by simulation in virtual time. */
object PolicyBenchMain {
    private val json = Json { prettyPrint = true }

    @JvmStatic
    fun main(arguments: Array<String>) {
        val command = BenchCommand()
        try {
            CmdLineParser(command).parseArgument(*arguments)
            run(command)
        } catch (failure: CmdLineException) {
            exitWithUsageError(failure)
        } catch (failure: IllegalArgumentException) {
            exitWithUsageError(failure)
        }
    }

    private fun run(command: BenchCommand) {
        if (command.measureDecisionCost) return println(DecisionCost().table())
        val options = if (command.runAll) command.allRuns() else listOf(command.singleRun())
        val results = runConcurrently(options, if (command.runAll) command.threads else 1)
        val summaries = BenchSummary.of(results)
        val quickClass =
            options
                .first()
                .deployment.classes
                .first { it.quick }
                .requestClass.id.value
        println(if (command.json) json.encodeToString(results) else BenchTable.text(summaries, quickClass))
        command.reportFile?.writeText(BenchReport.html(summaries, quickClass))
    }

    private fun runConcurrently(
        options: List<BenchOptions>,
        threads: Int,
    ): List<BenchResult> {
        val pool = Executors.newFixedThreadPool(threads)
        try {
            return pool.invokeAll(options.map { Callable { BenchRun(it).run() } }).map { it.get() }
        } finally {
            pool.shutdown()
        }
    }

    private fun exitWithUsageError(failure: Exception) {
        System.err.println(failure.message)
        exitProcess(2)
    }
}
