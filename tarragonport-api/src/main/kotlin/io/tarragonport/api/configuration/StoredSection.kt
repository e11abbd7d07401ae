package io.tarragonport.api.configuration

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonArray

/**
 * The value of a section's object in the object store.
 *
 * [entries] are the section's entries as in the document. [changedBy] and [changedAt] (ISO 8601) identify the winning
 * change to the author of a conflicting one. [changeId] is unique to a change, so that its author can recognise it
 * after a lost response.
 */
@Serializable
data class StoredSection(
    val changedBy: String,
    val changedAt: String,
    val changeId: String,
    val entries: JsonArray,
)
