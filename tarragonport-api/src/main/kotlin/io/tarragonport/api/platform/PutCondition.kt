package io.tarragonport.api.platform

import io.tarragonport.api.id.ObjectVersion

/** Condition of a write to the object store. */
sealed interface PutCondition {
    /** The object must not exist yet. */
    data object Absent : PutCondition

    /** The object must have this [version]. */
    data class Version(
        val version: ObjectVersion,
    ) : PutCondition
}
