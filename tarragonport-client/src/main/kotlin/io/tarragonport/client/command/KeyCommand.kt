package io.tarragonport.client.command

import arrow.core.Either
import io.tarragonport.client.ClientError
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.spi.SubCommand
import org.kohsuke.args4j.spi.SubCommandHandler
import org.kohsuke.args4j.spi.SubCommands

/** `key`: parent of the commands `key create` and `key withdraw`. */
class KeyCommand : Command() {
    @Argument(index = 0, required = true, metaVar = "create|withdraw", handler = SubCommandHandler::class)
    @SubCommands(
        SubCommand(name = "create", impl = KeyCreateCommand::class),
        SubCommand(name = "withdraw", impl = KeyWithdrawCommand::class),
    )
    var action: Command? = null

    override val summary = "create or withdraw an API key of a caller (key create, key withdraw)"

    override suspend fun run(environment: CommandEnvironment): Either<ClientError, Unit> =
        requireNotNull(action).run(environment)
}
