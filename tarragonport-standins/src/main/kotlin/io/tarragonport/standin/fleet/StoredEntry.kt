package io.tarragonport.standin.fleet

import kotlinx.serialization.json.JsonElement

/** An object of the store stand-in with the revisions of its creation and of its last change. */
internal data class StoredEntry(
    val kind: String,
    val name: String,
    val revision: Long,
    val createdRevision: Long,
    val value: JsonElement,
)
