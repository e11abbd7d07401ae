package io.tarragonport.api.id

import kotlinx.serialization.Serializable

/** Revision of the object store at the last change of an object; revisions increase monotonically over all objects. */
@Serializable
@JvmInline
value class ObjectVersion(
    val value: Long,
) : Comparable<ObjectVersion> {
    override fun compareTo(other: ObjectVersion): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    companion object {
        /** Lower than the version of every object. */
        val NONE = ObjectVersion(0)
    }
}
