package io.tarragonport.tool

import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import kotlin.system.exitProcess

/** Parses the command-line arguments of the tools and stand-ins. */
internal object ToolArguments {
    /** Exit status after incorrect command-line arguments. */
    const val INCORRECT_USAGE = 2

    /** Sets the annotated fields of [command] and returns it; on incorrect arguments prints the usage and exits. */
    fun <T : Any> parse(
        command: T,
        arguments: Array<String>,
    ): T {
        val parser = CmdLineParser(command)
        try {
            parser.parseArgument(*arguments)
        } catch (exception: CmdLineException) {
            System.err.println(exception.message)
            parser.printUsage(System.err)
            exitProcess(INCORRECT_USAGE)
        }
        return command
    }
}
