package io.tarragonport.client.command

import arrow.core.Either
import arrow.core.raise.either
import io.tarragonport.client.ClientContext
import io.tarragonport.client.ClientError
import io.tarragonport.client.document.DocumentSection
import io.tarragonport.client.section.CurrentSections
import io.tarragonport.client.section.SectionDifference
import io.tarragonport.client.section.SectionEncoder
import io.tarragonport.client.section.SectionRepository
import kotlinx.serialization.json.JsonArray
import org.kohsuke.args4j.Argument

/** `diff FILE`: shows what `apply FILE` would change. */
class DiffCommand : PlatformCommand() {
    @Argument(index = 0, required = true, metaVar = "FILE", usage = "document to compare")
    var file: String = ""

    override val summary = "show what apply would change"

    override suspend fun run(context: ClientContext): Either<ClientError, Unit> =
        either {
            val loaded = DocumentLoader().load(file).bind()
            val repository = SectionRepository(context.store, context.clock, context.operator)
            val current = repository.read().bind()
            val lines =
                DocumentSection.entries
                    .filter { it in loaded.parsed.presentSections }
                    .flatMap { difference(it, loaded, current) }
            lines.forEach(context.output::println)
            if (lines.isEmpty()) {
                context.output.println("no difference")
            }
        }

    private fun difference(
        section: DocumentSection,
        loaded: LoadedDocument,
        current: CurrentSections,
    ): List<String> {
        val desired = JsonArray(SectionEncoder.encode(section, loaded.parsed.document).values.flatten())
        return SectionDifference
            .between(section, current.entries(section), desired)
            .map { SectionDifference.describe(section, it) }
    }
}
