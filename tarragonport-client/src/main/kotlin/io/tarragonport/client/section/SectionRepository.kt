package io.tarragonport.client.section

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import io.tarragonport.api.configuration.ConfigurationJson
import io.tarragonport.api.configuration.SectionName
import io.tarragonport.api.configuration.StoredSection
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.platform.ObjectEntry
import io.tarragonport.api.platform.ObjectStore
import io.tarragonport.api.platform.PlatformError
import io.tarragonport.api.platform.PutCondition
import io.tarragonport.client.ClientError
import io.tarragonport.client.ExitStatus
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonArray
import java.util.UUID
import kotlin.time.Clock

/** Reads and conditionally writes sections in the object store. */
class SectionRepository(
    private val store: ObjectStore,
    private val clock: Clock,
    private val operator: String,
) {
    /** Reads all sections with one call. */
    suspend fun read(): Either<ClientError, CurrentSections> =
        either {
            val listing = store.list(SectionName.OBJECT_PREFIX, withValues = true).mapLeft(::describe).bind()
            val byName = listing.objects.filter { !it.deleted }.associateBy { it.name }
            val sections =
                SectionName.ALL.associateWith { name -> decode(name, byName[name.objectName]).bind() }
            CurrentSections(sections)
        }

    /**
     * Writes [entries] if the section still has version [baseVersion].
     *
     * After a conflict or a missing response, the section is read again and its change id is compared with that of this
     * write, so that a write that took effect is not reported as failed.
     */
    suspend fun write(
        name: SectionName,
        baseVersion: ObjectVersion,
        entries: JsonArray,
    ): Either<ClientError, WriteResult> {
        val section = StoredSection(operator, clock.now().toString(), UUID.randomUUID().toString(), entries)
        val text = ConfigurationJson.encodeToString(StoredSection.serializer(), section)
        val condition =
            if (baseVersion == ObjectVersion.NONE) PutCondition.Absent else PutCondition.Version(baseVersion)
        return store.put(name.objectName, text, condition).fold(
            { error -> resolveFailedWrite(name, section, error) },
            { version -> WriteResult.Written(version).right() },
        )
    }

    private suspend fun resolveFailedWrite(
        name: SectionName,
        written: StoredSection,
        error: PlatformError,
    ): Either<ClientError, WriteResult> =
        when (error) {
            is PlatformError.Conflict, is PlatformError.Unavailable -> {
                readOne(name).map { current -> outcome(current, written) }.flatMap { result ->
                    if (result is WriteResult.Conflict && error is PlatformError.Unavailable && result.absent) {
                        describe(error).left()
                    } else {
                        result.right()
                    }
                }
            }

            else -> {
                describe(error).left()
            }
        }

    private fun outcome(
        current: CurrentSection,
        written: StoredSection,
    ): WriteResult =
        if (current.stored?.changeId == written.changeId) {
            WriteResult.Written(current.version)
        } else {
            WriteResult.Conflict(current, absent = current.stored == null)
        }

    private suspend fun readOne(name: SectionName): Either<ClientError, CurrentSection> =
        store.get(name.objectName).mapLeft(::describe).flatMap { stored ->
            decode(name, stored?.let { ObjectEntry(it.name, it.version, it.value) })
        }

    private fun decode(
        name: SectionName,
        entry: ObjectEntry?,
    ): Either<ClientError, CurrentSection> =
        try {
            val stored = entry?.value?.let { ConfigurationJson.decodeFromString<StoredSection>(it) }
            CurrentSection(name, entry?.version ?: ObjectVersion.NONE, stored).right()
        } catch (exception: SerializationException) {
            val reason =
                exception.message
                    .orEmpty()
                    .lineSequence()
                    .first()
            ClientError(ExitStatus.FAILURE, "section $name from the platform is malformed: $reason").left()
        }

    private fun describe(error: PlatformError): ClientError =
        when (error) {
            is PlatformError.Unavailable -> "no usable response from the platform: ${error.reason}"
            is PlatformError.Conflict -> "version conflict on the platform: found version ${error.current ?: "none"}"
            is PlatformError.Refused -> "the platform refused the operation: ${error.message}"
            is PlatformError.Rejected -> "the platform rejected the call with status ${error.status}: ${error.message}"
            PlatformError.HistoryExpired -> "the platform no longer stores the requested changes"
        }.let { ClientError(ExitStatus.FAILURE, it) }
}
