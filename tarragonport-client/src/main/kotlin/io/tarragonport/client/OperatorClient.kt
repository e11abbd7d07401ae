package io.tarragonport.client

import io.tarragonport.client.command.Command
import io.tarragonport.client.command.CommandEnvironment
import io.tarragonport.client.command.KeyCommand
import kotlinx.coroutines.runBlocking
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import java.io.PrintStream
import java.io.StringWriter

/** Runs one command line and returns its exit status; errors of the user are printed without a stack trace. */
class OperatorClient(
    private val environment: CommandEnvironment,
    private val errors: PrintStream,
) {
    fun run(arguments: List<String>): ExitStatus {
        val commandLine = CommandLine()
        try {
            CmdLineParser(commandLine).parseArgument(arguments)
        } catch (exception: CmdLineException) {
            return reportUsageError(exception)
        }
        val command = commandLine.command?.let(::selectedCommand)
        return when {
            command == null -> printCommandList()
            command.help -> help(command)
            else -> execute(command)
        }
    }

    private fun selectedCommand(command: Command): Command = (command as? KeyCommand)?.action ?: command

    private fun execute(command: Command): ExitStatus =
        runBlocking { command.run(environment) }.fold(
            { error ->
                error.lines.forEach { errors.println(it) }
                error.status
            },
            { ExitStatus.SUCCESS },
        )

    private fun reportUsageError(exception: CmdLineException): ExitStatus {
        errors.println("tarragonport: invalid command line: ${exception.message}")
        errors.println(
            "Run \"tarragonport --help\" for the commands, \"tarragonport COMMAND --help\" for their options",
        )
        return ExitStatus.INVALID
    }

    private fun printCommandList(): ExitStatus {
        environment.output.println("usage: tarragonport COMMAND [OPTIONS] [ARGUMENTS]")
        CommandLine.COMMANDS.forEach { (name, command) ->
            environment.output.println("  ${name.padEnd(NAME_WIDTH)}${command.summary}")
        }
        environment.output.println("Run \"tarragonport COMMAND --help\" for the options of a command")
        return ExitStatus.SUCCESS
    }

    private fun help(command: Command): ExitStatus {
        val text = StringWriter()
        CmdLineParser(command).printUsage(text, null)
        environment.output.println(command.summary)
        environment.output.print(text)
        return ExitStatus.SUCCESS
    }

    private companion object {
        const val NAME_WIDTH = 10
    }
}
