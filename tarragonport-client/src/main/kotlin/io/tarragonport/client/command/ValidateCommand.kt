package io.tarragonport.client.command

import arrow.core.Either
import arrow.core.raise.either
import io.tarragonport.client.ClientError
import org.kohsuke.args4j.Argument

/** `validate FILE`: checks a complete document without the platform. */
class ValidateCommand : Command() {
    @Argument(
        index = 0,
        required = true,
        metaVar = "FILE",
        usage = "document to check: JSON, comments and trailing commas allowed",
    )
    var file: String = ""

    override val summary = "check a document without connecting to the platform and report all errors"

    override suspend fun run(environment: CommandEnvironment): Either<ClientError, Unit> =
        either {
            val loader = DocumentLoader()
            val loaded = loader.load(file).bind()
            loader.validate(loaded).bind()
            environment.output.println("$file is valid")
        }
}
