package io.tarragonport.api.id

import kotlinx.serialization.Serializable

/** Identifies a request class, such as `quick-chat`. */
@Serializable
@JvmInline
value class RequestClassId(
    val value: String,
) {
    override fun toString(): String = value
}
