package io.tarragonport.client

import io.tarragonport.client.command.ApplyCommand
import io.tarragonport.client.command.Command
import io.tarragonport.client.command.DiffCommand
import io.tarragonport.client.command.ExplainCommand
import io.tarragonport.client.command.GetCommand
import io.tarragonport.client.command.KeyCommand
import io.tarragonport.client.command.StatusCommand
import io.tarragonport.client.command.ValidateCommand
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import org.kohsuke.args4j.spi.SubCommand
import org.kohsuke.args4j.spi.SubCommandHandler
import org.kohsuke.args4j.spi.SubCommands

/** Arguments of the process: the name of a command, followed by its options. */
class CommandLine {
    @Option(name = "--help", aliases = ["-h"], help = true, usage = "show this help")
    var help: Boolean = false

    @Argument(index = 0, required = true, metaVar = "COMMAND", handler = SubCommandHandler::class)
    @SubCommands(
        SubCommand(name = "validate", impl = ValidateCommand::class),
        SubCommand(name = "get", impl = GetCommand::class),
        SubCommand(name = "diff", impl = DiffCommand::class),
        SubCommand(name = "apply", impl = ApplyCommand::class),
        SubCommand(name = "status", impl = StatusCommand::class),
        SubCommand(name = "key", impl = KeyCommand::class),
        SubCommand(name = "explain", impl = ExplainCommand::class),
    )
    var command: Command? = null

    companion object {
        /** A new instance of each command by name, in the order of the help text. */
        val COMMANDS: Map<String, Command>
            get() =
                linkedMapOf(
                    "validate" to ValidateCommand(),
                    "get" to GetCommand(),
                    "diff" to DiffCommand(),
                    "apply" to ApplyCommand(),
                    "status" to StatusCommand(),
                    "key" to KeyCommand(),
                    "explain" to ExplainCommand(),
                )
    }
}
