package io.tarragonport.client.command

import arrow.core.Either
import arrow.core.left
import io.tarragonport.client.ClientContext
import io.tarragonport.client.ClientError
import io.tarragonport.client.ExitStatus
import org.kohsuke.args4j.Option

/** A command that connects to the platform. */
abstract class PlatformCommand : Command() {
    @Option(
        name = "--platform",
        metaVar = "URL",
        usage = "URL of the platform, http://ip:port; if omitted, environment variable TARRAGONPORT_PLATFORM",
    )
    var platform: String = System.getenv("TARRAGONPORT_PLATFORM").orEmpty()

    @Option(
        name = "--operator",
        metaVar = "NAME",
        usage = "operator name stored with each change; if omitted, name of the system user",
    )
    var operator: String = System.getProperty("user.name").orEmpty()

    override suspend fun run(environment: CommandEnvironment): Either<ClientError, Unit> {
        if (!platform.startsWith("http://") && !platform.startsWith("https://")) {
            return ClientError(
                ExitStatus.INVALID,
                "--platform or TARRAGONPORT_PLATFORM: expected an http:// or https:// URL, got \"$platform\"",
            ).left()
        }
        return run(environment.connect(platform, operator))
    }

    /** Runs the command with the clients of the platform in [context]. */
    protected abstract suspend fun run(context: ClientContext): Either<ClientError, Unit>
}
