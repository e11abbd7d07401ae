package io.tarragonport.client.command

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensureNotNull
import io.tarragonport.api.configuration.SectionName
import io.tarragonport.client.ClientContext
import io.tarragonport.client.ClientError
import io.tarragonport.client.ExitStatus
import io.tarragonport.client.section.SectionRepository
import org.kohsuke.args4j.Argument

/** `key withdraw ID`: marks the key as withdrawn; VMs reject it within seconds, also from connected callers. */
class KeyWithdrawCommand : PlatformCommand() {
    @Argument(index = 0, required = true, metaVar = "ID", usage = "id of the key to withdraw")
    var id: String = ""

    override val summary = "withdraw an API key; it becomes invalid within seconds"

    override suspend fun run(context: ClientContext): Either<ClientError, Unit> =
        either {
            val repository = SectionRepository(context.store, context.clock, context.operator)
            val keys =
                repository
                    .read()
                    .bind()
                    .document()
                    .keys
            val key =
                ensureNotNull(keys.find { it.id.value == id }) {
                    ClientError(ExitStatus.FAILURE, "the configuration has no key \"$id\"")
                }
            val version =
                KeyEditor(repository)
                    .edit(SectionName.keyShard(key.digest)) { shard ->
                        shard.map { if (it.id == key.id) it.copy(withdrawn = true) else it }
                    }.bind()
            context.output.println("key $id withdrawn (section version $version)")
        }
}
