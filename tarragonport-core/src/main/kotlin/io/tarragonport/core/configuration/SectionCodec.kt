package io.tarragonport.core.configuration

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.tarragonport.api.configuration.ConfigurationDocument
import io.tarragonport.api.configuration.ConfigurationJson
import io.tarragonport.api.configuration.KeyRecord
import io.tarragonport.api.configuration.Limit
import io.tarragonport.api.configuration.Organisation
import io.tarragonport.api.configuration.Pool
import io.tarragonport.api.configuration.RequestClass
import io.tarragonport.api.configuration.Route
import io.tarragonport.api.configuration.SectionName
import io.tarragonport.api.configuration.StoredSection
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject

/**
 * Encodes and decodes stored sections.
 *
 * The value of a section's object is the JSON array of its entries, or a [StoredSection] that contains that array and
 * the author of the change.
 */
object SectionCodec {
    /** Text of a section without entries. */
    const val EMPTY = "[]"

    /** Parses [text] as entries of [section]; the left side is the parse error. */
    fun parse(
        section: SectionName,
        text: String,
    ): Either<String, SectionContent> =
        try {
            decode(section, entries(text))?.right() ?: "unknown section $section".left()
        } catch (error: SerializationException) {
            error.message.orEmpty().left()
        } catch (error: IllegalArgumentException) {
            error.message.orEmpty().left()
        }

    /** Splits [document] into the texts of all sections, including those without entries. */
    fun split(document: ConfigurationDocument): Map<SectionName, String> {
        val shards = document.keys.groupBy { SectionName.keyShard(it.digest) }
        return SectionName.ALL.associateWith { section ->
            when (section) {
                SectionName.ORGANISATIONS -> encode(SectionContent.Organisations(document.organisations))
                SectionName.CLASSES -> encode(SectionContent.Classes(document.classes))
                SectionName.POOLS -> encode(SectionContent.Pools(document.pools))
                SectionName.ROUTES -> encode(SectionContent.Routes(document.routes))
                SectionName.LIMITS -> encode(SectionContent.Limits(document.limits))
                else -> encode(SectionContent.Keys(shards[section].orEmpty()))
            }
        }
    }

    /** Encodes [content] as stored by the object store. */
    fun encode(content: SectionContent): String =
        when (content) {
            is SectionContent.Organisations -> ConfigurationJson.encodeToString(organisations, content.entries)
            is SectionContent.Keys -> ConfigurationJson.encodeToString(keys, content.entries)
            is SectionContent.Classes -> ConfigurationJson.encodeToString(classes, content.entries)
            is SectionContent.Pools -> ConfigurationJson.encodeToString(pools, content.entries)
            is SectionContent.Routes -> ConfigurationJson.encodeToString(routes, content.entries)
            is SectionContent.Limits -> ConfigurationJson.encodeToString(limits, content.entries)
        }

    private fun entries(text: String): JsonElement {
        val value = ConfigurationJson.parseToJsonElement(text)
        return if (value is JsonObject) {
            ConfigurationJson.decodeFromJsonElement(StoredSection.serializer(), value).entries
        } else {
            value
        }
    }

    private fun decode(
        section: SectionName,
        entries: JsonElement,
    ): SectionContent? =
        when (section) {
            SectionName.ORGANISATIONS ->
                SectionContent.Organisations(ConfigurationJson.decodeFromJsonElement(organisations, entries))
            SectionName.CLASSES -> SectionContent.Classes(ConfigurationJson.decodeFromJsonElement(classes, entries))
            SectionName.POOLS -> SectionContent.Pools(ConfigurationJson.decodeFromJsonElement(pools, entries))
            SectionName.ROUTES -> SectionContent.Routes(ConfigurationJson.decodeFromJsonElement(routes, entries))
            SectionName.LIMITS -> SectionContent.Limits(ConfigurationJson.decodeFromJsonElement(limits, entries))
            in SectionName.ALL -> SectionContent.Keys(ConfigurationJson.decodeFromJsonElement(keys, entries))
            else -> null
        }

    private val organisations = ListSerializer(Organisation.serializer())
    private val keys = ListSerializer(KeyRecord.serializer())
    private val classes = ListSerializer(RequestClass.serializer())
    private val pools = ListSerializer(Pool.serializer())
    private val routes = ListSerializer(Route.serializer())
    private val limits = ListSerializer(Limit.serializer())
}
