package io.tarragonport.api.platform

import io.tarragonport.api.id.ObjectVersion
import kotlinx.serialization.Serializable

/** An entry of a listing or watch; [value] is null if it was not requested or the object was [deleted]. */
@Serializable
data class ObjectEntry(
    val name: String,
    val version: ObjectVersion,
    val value: String? = null,
    val deleted: Boolean = false,
)
