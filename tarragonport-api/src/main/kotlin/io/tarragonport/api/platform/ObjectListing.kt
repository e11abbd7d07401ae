package io.tarragonport.api.platform

import io.tarragonport.api.id.ObjectVersion
import kotlinx.serialization.Serializable

/** Objects under a prefix, or the changes returned by a watch, as of [revision]. */
@Serializable
data class ObjectListing(
    val revision: ObjectVersion,
    val objects: List<ObjectEntry>,
)
