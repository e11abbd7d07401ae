package io.tarragonport.client.section

import io.tarragonport.api.configuration.SectionName
import io.tarragonport.api.configuration.StoredSection
import io.tarragonport.api.id.ObjectVersion
import kotlinx.serialization.json.JsonArray

/** A section as stored in the object store; [stored] is null and [version] zero if it does not exist yet. */
class CurrentSection(
    val name: SectionName,
    val version: ObjectVersion,
    val stored: StoredSection?,
) {
    val entries: JsonArray get() = stored?.entries ?: JsonArray(emptyList())
}
