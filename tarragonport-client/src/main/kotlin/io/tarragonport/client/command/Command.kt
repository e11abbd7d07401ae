package io.tarragonport.client.command

import arrow.core.Either
import io.tarragonport.client.ClientError
import org.kohsuke.args4j.Option

/** A subcommand of the command line; args4j fills its annotated fields. */
abstract class Command {
    @Option(name = "--help", aliases = ["-h"], help = true, usage = "show this help")
    var help: Boolean = false

    /** Description in one line, printed by the help text. */
    abstract val summary: String

    /** Runs the command; a left value is the exit status with the error messages to print. */
    abstract suspend fun run(environment: CommandEnvironment): Either<ClientError, Unit>
}
