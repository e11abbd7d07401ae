package io.tarragonport.standin.engine

import io.tarragonport.tool.ToolArguments
import org.kohsuke.args4j.Option

/** Runs one service stand-in as a process. */
object ServiceStandInMain {
    private class Options {
        @Option(name = "--port", usage = "port to listen on; 0 selects a free port")
        var port = 0

        @Option(name = "--id", usage = "backend server id", required = true)
        var id = ""
    }

    @JvmStatic
    fun main(arguments: Array<String>) {
        val options = ToolArguments.parse(Options(), arguments)
        val standIn = ServiceStandIn(options.id, options.port).start()
        println("listening on ${EngineStandIn.LOOPBACK}:${standIn.port}")
        Thread.currentThread().join()
    }
}
