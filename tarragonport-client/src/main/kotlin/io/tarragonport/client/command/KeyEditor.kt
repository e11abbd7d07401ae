package io.tarragonport.client.command

import arrow.core.Either
import arrow.core.raise.either
import io.tarragonport.api.configuration.ConfigurationJson
import io.tarragonport.api.configuration.KeyRecord
import io.tarragonport.api.configuration.SectionName
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.client.ClientError
import io.tarragonport.client.ExitStatus
import io.tarragonport.client.section.CurrentSections
import io.tarragonport.client.section.SectionEncoder
import io.tarragonport.client.section.SectionRepository
import io.tarragonport.client.section.WriteResult
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.decodeFromJsonElement

/**
 * Changes single keys within their key shard, the section that stores them.
 *
 * After a version conflict the change is applied to the newer version of the shard, which is safe because it leaves
 * other keys as they are.
 */
internal class KeyEditor(
    private val repository: SectionRepository,
) {
    /** Replaces the keys of shard [name] by the result of [edit] and returns the new version. */
    suspend fun edit(
        name: SectionName,
        edit: (List<KeyRecord>) -> List<KeyRecord>,
    ): Either<ClientError, ObjectVersion> =
        either {
            repeat(MAXIMUM_ATTEMPTS) {
                val current = repository.read().bind().section(name)
                val entries = SectionEncoder.encodeShard(edit(decode(current.entries)))
                val result = repository.write(name, current.version, entries).bind()
                if (result is WriteResult.Written) {
                    return@either result.version
                }
            }
            raise(
                ClientError(
                    ExitStatus.FAILURE,
                    "section $name not written: another operator changed it during each of $MAXIMUM_ATTEMPTS attempts",
                ),
            )
        }

    /** All keys of [sections]. */
    fun keys(sections: CurrentSections): List<KeyRecord> = sections.document().keys

    private fun decode(entries: JsonArray): List<KeyRecord> = ConfigurationJson.decodeFromJsonElement(entries)

    private companion object {
        const val MAXIMUM_ATTEMPTS = 5
    }
}
