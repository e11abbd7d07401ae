package io.tarragonport.api.id

import kotlinx.serialization.Serializable

/** Identifies a service: a group of backend servers that serve the same requests. */
@Serializable
@JvmInline
value class ServiceId(
    val value: String,
) {
    override fun toString(): String = value
}
