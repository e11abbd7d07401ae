package io.tarragonport.client.section

import io.tarragonport.api.configuration.ConfigurationDocument
import io.tarragonport.api.configuration.ConfigurationJson
import io.tarragonport.api.configuration.KeyRecord
import io.tarragonport.api.configuration.SectionName
import io.tarragonport.client.document.DocumentSection
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.encodeToJsonElement
import kotlinx.serialization.json.jsonArray

/** Encodes a section of the document as the entries of the objects in which it is stored. */
object SectionEncoder {
    /** Entries by stored section; for the keys the result contains every shard, including empty ones. */
    fun encode(
        section: DocumentSection,
        document: ConfigurationDocument,
    ): Map<SectionName, JsonArray> =
        when (section) {
            DocumentSection.KEYS -> encodeKeys(document.keys)
            else -> mapOf(SectionName(section.title) to encodeWhole(section, document))
        }

    /** Entries of one key shard. */
    fun encodeShard(keys: List<KeyRecord>): JsonArray =
        ConfigurationJson.encodeToJsonElement(keys.sortedBy { it.id.value }).jsonArray

    private fun encodeKeys(keys: List<KeyRecord>): Map<SectionName, JsonArray> {
        val byShard = keys.groupBy { SectionName.keyShard(it.digest) }
        return CurrentSections.namesOf(DocumentSection.KEYS).associateWith { encodeShard(byShard[it].orEmpty()) }
    }

    private fun encodeWhole(
        section: DocumentSection,
        document: ConfigurationDocument,
    ): JsonArray =
        ConfigurationJson
            .encodeToJsonElement(document)
            .let { (it as JsonObject)[section.title] }
            ?.jsonArray ?: JsonArray(emptyList())
}
