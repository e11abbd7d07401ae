package io.tarragonport.client.section

import io.tarragonport.api.configuration.ConfigurationDocument
import io.tarragonport.api.configuration.ConfigurationJson
import io.tarragonport.api.configuration.SectionName
import io.tarragonport.client.document.DocumentSection
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.decodeFromJsonElement

/** All stored sections, read at the same revision. */
class CurrentSections(
    private val sections: Map<SectionName, CurrentSection>,
) {
    /** The section [name]; without entries if it does not exist yet. */
    fun section(name: SectionName): CurrentSection = sections.getValue(name)

    /** The stored sections that make up [section]: all key shards for the keys, a single one for any other section. */
    fun storedSections(section: DocumentSection): List<CurrentSection> = namesOf(section).map(::section)

    /** Entries of [section], collected from all stored sections that make it up. */
    fun entries(section: DocumentSection): JsonArray = JsonArray(storedSections(section).flatMap { it.entries })

    /** The document as JSON, with every section. */
    fun json(): JsonObject = JsonObject(DocumentSection.entries.associate { it.title to entries(it) as JsonElement })

    fun document(): ConfigurationDocument = ConfigurationJson.decodeFromJsonElement(json())

    companion object {
        /** Names of the objects in which [section] is stored. */
        fun namesOf(section: DocumentSection): List<SectionName> =
            when (section) {
                DocumentSection.KEYS -> (0 until SectionName.KEY_SHARDS).map(SectionName::keyShard)
                else -> listOf(SectionName(section.title))
            }
    }
}
