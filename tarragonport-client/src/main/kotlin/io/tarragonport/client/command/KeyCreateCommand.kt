package io.tarragonport.client.command

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import io.tarragonport.api.configuration.KeyRecord
import io.tarragonport.api.configuration.SectionName
import io.tarragonport.api.id.KeyDigest
import io.tarragonport.api.id.KeyId
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.RequestClassId
import io.tarragonport.client.ClientContext
import io.tarragonport.client.ClientError
import io.tarragonport.client.ExitStatus
import io.tarragonport.client.section.SectionRepository
import org.kohsuke.args4j.Option
import java.security.SecureRandom
import java.util.Base64

/** `key create`: generates a random key, stores only its digest and prints the key once. */
class KeyCreateCommand : PlatformCommand() {
    @Option(name = "--organisation", required = true, metaVar = "ID", usage = "organisation that the key belongs to")
    var organisation: String = ""

    @Option(name = "--class", metaVar = "ID", usage = "request class of requests that do not specify one")
    var requestClass: String? = null

    @Option(name = "--id", required = true, metaVar = "ID", usage = "id of the new key, shown in logs and status")
    var id: String = ""

    override val summary = "create an API key and print it"

    override suspend fun run(context: ClientContext): Either<ClientError, Unit> =
        either {
            val repository = SectionRepository(context.store, context.clock, context.operator)
            val document = repository.read().bind().document()
            ensure(document.organisations.any { it.id.value == organisation }) {
                ClientError(
                    ExitStatus.FAILURE,
                    "--organisation: the configuration has no organisation \"$organisation\"",
                )
            }
            ensure(requestClass == null || document.classes.any { it.id.value == requestClass }) {
                ClientError(ExitStatus.FAILURE, "--class: the configuration has no request class \"$requestClass\"")
            }
            ensure(document.keys.none { it.id.value == id }) {
                ClientError(ExitStatus.FAILURE, "--id: a key \"$id\" already exists")
            }
            val key = newKey()
            val record = record(key)
            val version = KeyEditor(repository).edit(SectionName.keyShard(record.digest)) { it + record }.bind()
            context.output.println(
                "key $id created (section version $version); only its digest is stored, so save the key now:",
            )
            context.output.println(key)
        }

    private fun record(key: String) =
        KeyRecord(
            id = KeyId(id),
            digest = KeyDigest.of(key),
            organisation = OrganisationId(organisation),
            defaultClass = requestClass?.let(::RequestClassId),
        )

    private fun newKey(): String {
        val bytes = ByteArray(KEY_BYTES)
        SecureRandom().nextBytes(bytes)
        return KEY_PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes)
    }

    private companion object {
        const val KEY_BYTES = 32
        const val KEY_PREFIX = "tp_"
    }
}
