package io.tarragonport.api.platform

import io.tarragonport.api.id.ObjectVersion

/** An object of the object store with its version; [value] is UTF-8 JSON text of at most 1 MB. */
data class StoredObject(
    val name: String,
    val version: ObjectVersion,
    val value: String,
)
