package io.tarragonport.client.document

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.tarragonport.api.configuration.ConfigurationDocument
import io.tarragonport.api.configuration.ConfigurationJson
import io.tarragonport.api.configuration.SectionName
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.core.configuration.validation.ConfigurationValidator
import io.tarragonport.core.configuration.validation.FieldChecker
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.decodeFromJsonElement
import kotlinx.serialization.json.longOrNull

/**
 * Parses a document and reports all errors with section, path and line.
 *
 * The structure (unknown or missing fields, wrong types) is checked first. Values and references are checked only
 * if the structure is correct, because a partly decoded document would give misleading errors.
 */
class DocumentReader(
    private val validator: ConfigurationValidator = ConfigurationValidator(),
) {
    /** Parses [text] without checking references, since a file may contain only some of the sections. */
    fun read(text: String): Either<List<DocumentProblem>, ParsedDocument> {
        val syntaxError = LineIndex.syntaxError(text)
        if (syntaxError != null) {
            return listOf(DocumentProblem("document", "/", syntaxError.line, syntaxError.message)).left()
        }
        val lines = LineIndex.of(text)
        val root = parse(text).fold({ return listOf(DocumentProblem("document", "/", 1, it)).left() }, { it })
        val problems = mutableListOf<DocumentProblem>()
        checkStructure(root, lines, problems)
        if (problems.isNotEmpty()) {
            return problems.left()
        }
        val sections = JsonObject(root.filterKeys { it != BASE_VERSIONS })
        val document = ConfigurationJson.decodeFromJsonElement<ConfigurationDocument>(sections)
        val presentSections = sections.keys.mapNotNull { DocumentSection.of(it) }.toSet()
        return ParsedDocument(document, presentSections, baseVersions(root)).right()
    }

    /** Checks values and references of [document]; [text] is needed for the line numbers. */
    fun validate(
        document: ConfigurationDocument,
        text: String,
    ): List<DocumentProblem> {
        val lines = LineIndex.of(text)
        return validator
            .validate(document)
            .map { DocumentProblem(it.section, it.path, lines.line(it.path), it.message) }
            .sortedBy { it.line }
    }

    private fun parse(text: String): Either<String, JsonObject> =
        try {
            when (val element = ConfigurationJson.parseToJsonElement(text)) {
                is JsonObject -> element.right()
                else -> "expected a JSON object with the sections of the document".left()
            }
        } catch (exception: SerializationException) {
            exception.message
                .orEmpty()
                .lineSequence()
                .first()
                .left()
        }

    private fun checkStructure(
        root: JsonObject,
        lines: LineIndex,
        problems: MutableList<DocumentProblem>,
    ) {
        root.forEach { (name, value) ->
            val section = DocumentSection.of(name)
            when {
                name == BASE_VERSIONS -> checkBaseVersions(value, lines, problems)
                section == null ->
                    problems +=
                        problem(
                            lines,
                            name,
                            "/$name",
                            "unknown section \"$name\": " +
                                "expected one of ${DocumentSection.entries.joinToString { it.title }}",
                        )
                value !is JsonArray -> problems += problem(lines, name, "/$name", "must be an array")
                else -> checkEntries(section, value, lines, problems)
            }
        }
    }

    private fun checkEntries(
        section: DocumentSection,
        entries: JsonArray,
        lines: LineIndex,
        problems: MutableList<DocumentProblem>,
    ) {
        entries.forEachIndexed { index, entry ->
            val path = "/${section.title}/$index"
            val before = problems.size
            val checker =
                FieldChecker { where, message -> problems += problem(lines, section.title, where, message) }
            checker.check(path, entry, section.serializer.descriptor)
            if (problems.size == before) {
                decodeError(section.serializer, entry)?.let {
                    problems += problem(lines, section.title, path, it)
                }
            }
        }
    }

    private fun decodeError(
        serializer: KSerializer<*>,
        entry: JsonElement,
    ): String? =
        try {
            ConfigurationJson.decodeFromJsonElement(serializer, entry)
            null
        } catch (exception: SerializationException) {
            exception.message
                .orEmpty()
                .lineSequence()
                .first()
        } catch (exception: IllegalArgumentException) {
            exception.message
                .orEmpty()
                .lineSequence()
                .first()
        }

    private fun checkBaseVersions(
        value: JsonElement,
        lines: LineIndex,
        problems: MutableList<DocumentProblem>,
    ) {
        val valid = value is JsonObject && value.values.all { it is JsonPrimitive && it.longOrNull != null }
        if (!valid) {
            problems += problem(lines, BASE_VERSIONS, "/$BASE_VERSIONS", "must map section names to version numbers")
        }
    }

    private fun baseVersions(root: JsonObject): Map<SectionName, ObjectVersion> =
        when (val versions = root[BASE_VERSIONS]) {
            is JsonObject -> {
                versions.entries.associate { (name, value) ->
                    SectionName(name) to ObjectVersion(ConfigurationJson.decodeFromJsonElement<Long>(value))
                }
            }

            else -> {
                emptyMap()
            }
        }

    private fun problem(
        lines: LineIndex,
        section: String,
        path: String,
        message: String,
    ) = DocumentProblem(section, path, lines.line(path), message)

    companion object {
        /** Field in which `get` writes the version of each section. */
        const val BASE_VERSIONS = "base_versions"
    }
}
