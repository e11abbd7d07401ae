package io.tarragonport.client.section

import io.tarragonport.client.document.DocumentSection
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonObject

/** Compares two versions of a section entry by entry. */
object SectionDifference {
    /** Changes that lead from [before] to [after], in the order of their entries. */
    fun between(
        section: DocumentSection,
        before: JsonArray,
        after: JsonArray,
    ): List<EntryChange> {
        val old = before.associateBy { identity(section, it.jsonObject) }
        val new = after.associateBy { identity(section, it.jsonObject) }
        val removed = old.keys.filter { it !in new }.map { EntryChange.Removed(it) }
        return removed + new.mapNotNull { (id, entry) -> change(id, old[id], entry) }
    }

    /** Formats [change] as one line in the style of a diff. */
    fun describe(
        section: DocumentSection,
        change: EntryChange,
    ): String =
        when (change) {
            is EntryChange.Added -> "+ ${section.title} ${change.entry}"
            is EntryChange.Removed -> "- ${section.title} ${change.entry}"
            is EntryChange.Changed -> "~ ${section.title} ${change.entry}: ${change.fields.joinToString(", ")}"
        }

    private fun change(
        id: String,
        before: JsonElement?,
        after: JsonElement,
    ): EntryChange? {
        if (before == null) {
            return EntryChange.Added(id)
        }
        val names = (before.jsonObject.keys + after.jsonObject.keys).sorted()
        val fields = names.filter { before.jsonObject[it] != after.jsonObject[it] }
        return if (fields.isEmpty()) null else EntryChange.Changed(id, fields)
    }

    private fun identity(
        section: DocumentSection,
        entry: JsonObject,
    ): String =
        when (section) {
            DocumentSection.LIMITS -> listOfNotNull(text(entry, "organisation"), text(entry, "key")).joinToString("/")
            else -> text(entry, "id").orEmpty()
        }

    private fun text(
        entry: JsonObject,
        field: String,
    ): String? = (entry[field] as? JsonPrimitive)?.contentOrNull
}
