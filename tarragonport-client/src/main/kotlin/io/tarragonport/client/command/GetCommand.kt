package io.tarragonport.client.command

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensureNotNull
import io.tarragonport.api.configuration.SectionName
import io.tarragonport.client.ClientContext
import io.tarragonport.client.ClientError
import io.tarragonport.client.ExitStatus
import io.tarragonport.client.document.DocumentReader
import io.tarragonport.client.document.DocumentSection
import io.tarragonport.client.section.CurrentSections
import io.tarragonport.client.section.SectionRepository
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.kohsuke.args4j.Argument

/**
 * `get SECTION...`: prints the named sections of the stored configuration, or all of them, as a document.
 *
 * The document contains the current section versions; `apply` later rejects it if a section has changed since then.
 */
class GetCommand : PlatformCommand() {
    @Argument(metaVar = "SECTION", usage = "sections to print (default: all)", multiValued = true)
    var sections: MutableList<String> = mutableListOf()

    override val summary = "print the stored configuration as a document"

    override suspend fun run(context: ClientContext): Either<ClientError, Unit> =
        either {
            val requested =
                sections.map { title ->
                    ensureNotNull(DocumentSection.of(title)) {
                        ClientError(
                            ExitStatus.INVALID,
                            "unknown section \"$title\": " +
                                "expected one of ${DocumentSection.entries.joinToString { it.title }}",
                        )
                    }
                }
            val repository = SectionRepository(context.store, context.clock, context.operator)
            val current = repository.read().bind()
            context.output.println(render(requested.ifEmpty { DocumentSection.entries }, current))
        }

    private fun render(
        requested: List<DocumentSection>,
        current: CurrentSections,
    ): String {
        val names: List<SectionName> = requested.flatMap { CurrentSections.namesOf(it) }
        val versions = names.associate { it.value to JsonPrimitive(current.section(it).version.value) as JsonElement }
        val entries = requested.associate { it.title to current.entries(it) as JsonElement }
        val document = JsonObject(mapOf(DocumentReader.BASE_VERSIONS to JsonObject(versions)) + entries)
        return PRETTY.encodeToString(JsonObject.serializer(), document)
    }

    private companion object {
        val PRETTY = Json { prettyPrint = true }
    }
}
