package io.tarragonport.client.command

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import io.tarragonport.api.configuration.ConfigurationDocument
import io.tarragonport.api.configuration.ConfigurationJson
import io.tarragonport.api.configuration.SectionName
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.client.ClientContext
import io.tarragonport.client.ClientError
import io.tarragonport.client.ExitStatus
import io.tarragonport.client.document.DocumentSection
import io.tarragonport.client.section.CurrentSection
import io.tarragonport.client.section.CurrentSections
import io.tarragonport.client.section.SectionDifference
import io.tarragonport.client.section.SectionEncoder
import io.tarragonport.client.section.SectionRepository
import io.tarragonport.client.section.WriteResult
import io.tarragonport.core.configuration.validation.ConfigurationValidator
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.decodeFromJsonElement
import org.kohsuke.args4j.Argument

/**
 * `apply FILE`: writes the sections in the file, each on condition that its version has not changed since it was read.
 *
 * Sections that other sections refer to are written first, so that the active configuration never refers to entries
 * that are not written yet. The command stops at the first version conflict or error and lists the sections written and
 * not written.
 */
class ApplyCommand : PlatformCommand() {
    @Argument(index = 0, required = true, metaVar = "FILE", usage = "document to apply")
    var file: String = ""

    override val summary = "write the sections of a document; fails if a section has changed since it was read"

    override suspend fun run(context: ClientContext): Either<ClientError, Unit> =
        either {
            val loader = DocumentLoader()
            val loaded = loader.load(file).bind()
            val repository = SectionRepository(context.store, context.clock, context.operator)
            val current = repository.read().bind()
            loader.validate(loaded, merge(loaded, current)).bind()
            write(plan(loaded, current), repository, context)
            warnIfInvalid(repository, context)
        }

    private fun merge(
        loaded: LoadedDocument,
        current: CurrentSections,
    ): ConfigurationDocument {
        val desired: Map<String, JsonElement> =
            loaded.parsed.presentSections.associate { section ->
                section.title to JsonArray(SectionEncoder.encode(section, loaded.parsed.document).values.flatten())
            }
        return ConfigurationJson.decodeFromJsonElement(JsonObject(current.json() + desired))
    }

    private fun plan(
        loaded: LoadedDocument,
        current: CurrentSections,
    ): List<PlannedWrite> =
        WRITE_ORDER
            .filter { it in loaded.parsed.presentSections }
            .flatMap { section ->
                SectionEncoder.encode(section, loaded.parsed.document).map { (name, entries) ->
                    val currentSection = current.section(name)
                    PlannedWrite(
                        section,
                        currentSection,
                        loaded.parsed.baseVersions[name] ?: currentSection.version,
                        entries,
                    )
                }
            }.filter { it.entries != it.current.entries || it.baseVersion != it.current.version }

    private suspend fun Raise<ClientError>.write(
        writes: List<PlannedWrite>,
        repository: SectionRepository,
        context: ClientContext,
    ) {
        val written = mutableListOf<SectionName>()
        writes.forEach { planned ->
            val error = writeOne(planned, repository, context, written)
            if (error != null) {
                raise(withProgress(error, written, writes))
            }
        }
        if (written.isEmpty()) {
            context.output.println("nothing to change")
        }
    }

    private suspend fun writeOne(
        planned: PlannedWrite,
        repository: SectionRepository,
        context: ClientContext,
        written: MutableList<SectionName>,
    ): ClientError? {
        val name = planned.current.name
        if (planned.baseVersion != planned.current.version) {
            return versionConflict(planned, planned.current)
        }
        return repository.write(name, planned.baseVersion, planned.entries).fold({ it }) { result ->
            when (result) {
                is WriteResult.Conflict -> {
                    versionConflict(planned, result.current)
                }

                is WriteResult.Written -> {
                    written += name
                    context.output.println("section $name: version ${result.version}")
                    null
                }
            }
        }
    }

    private fun versionConflict(
        planned: PlannedWrite,
        current: CurrentSection,
    ): ClientError {
        val stored = current.stored
        val change = if (stored == null) "was deleted" else "was changed by ${stored.changedBy} at ${stored.changedAt}"
        val headline =
            "section ${current.name} $change: the document is based on version ${planned.baseVersion}, " +
                "the current version is ${current.version} and differs as follows:"
        // The store has no entries of an older base version, so the entries of the document are compared instead.
        val before = if (planned.baseVersion == planned.current.version) planned.current.entries else planned.entries
        val changes = SectionDifference.between(planned.section, before, current.entries)
        return ClientError(
            ExitStatus.FAILURE,
            listOf(headline) + changes.map { "  " + SectionDifference.describe(planned.section, it) },
        )
    }

    private fun withProgress(
        error: ClientError,
        written: List<SectionName>,
        writes: List<PlannedWrite>,
    ): ClientError {
        val open = writes.map { it.current.name }.filter { it !in written }
        return error.copy(
            lines =
                error.lines +
                    "sections written: ${written.joinToString().ifEmpty { "none" }}; " +
                    "not written: ${open.joinToString()}",
        )
    }

    private suspend fun warnIfInvalid(
        repository: SectionRepository,
        context: ClientContext,
    ) {
        repository.read().onRight { after ->
            ConfigurationValidator().validate(after.document()).forEach {
                context.output.println(
                    "warning: invalid configuration after concurrent changes: ${it.path}: ${it.message}",
                )
            }
        }
    }

    private class PlannedWrite(
        val section: DocumentSection,
        val current: CurrentSection,
        val baseVersion: ObjectVersion,
        val entries: JsonArray,
    )

    private companion object {
        val WRITE_ORDER =
            listOf(
                DocumentSection.ORGANISATIONS,
                DocumentSection.CLASSES,
                DocumentSection.POOLS,
                DocumentSection.ROUTES,
                DocumentSection.KEYS,
                DocumentSection.LIMITS,
            )
    }
}
