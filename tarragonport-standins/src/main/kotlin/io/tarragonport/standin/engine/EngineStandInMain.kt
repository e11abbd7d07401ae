package io.tarragonport.standin.engine

import io.tarragonport.tool.ToolArguments
import org.kohsuke.args4j.Option

/**
 * Runs one engine stand-in as a process, or several with `--count`, which then get the id suffixes `-1`, `-2` and so on
 * and consecutive ports. An injected crash halts the process. Several engines in one process share JIT-compiled code,
 * so a load test needs less CPU time than with one process per engine.
 */
object EngineStandInMain {
    /** Exit status of a process ended by SIGABRT. */
    private const val CRASH_STATUS = 134

    private class Options {
        @Option(name = "--port", usage = "port to listen on; 0 selects a free port")
        var port = 0

        @Option(name = "--id", usage = "backend server id", required = true)
        var id = ""

        @Option(name = "--count", usage = "number of engines on consecutive ports; 0 for one without an id suffix")
        var count = 0

        @Option(name = "--slots", usage = "number of concurrent streams")
        var slots = 8

        @Option(name = "--tokens-per-second", usage = "generation rate of each stream")
        var tokensPerSecond = 50.0
    }

    @JvmStatic
    fun main(arguments: Array<String>) {
        val options = ToolArguments.parse(Options(), arguments)
        if (options.count == 0) start(options, options.id, options.port)
        for (number in 1..options.count) start(options, "${options.id}-$number", options.port + number - 1)
        Thread.currentThread().join()
    }

    private fun start(
        options: Options,
        id: String,
        port: Int,
    ) {
        val settings = EngineSettings(id, options.slots, options.tokensPerSecond, port = port)
        val standIn = EngineStandIn(settings) { Runtime.getRuntime().halt(CRASH_STATUS) }.start()
        println("listening on ${EngineStandIn.LOOPBACK}:${standIn.port}")
    }
}
