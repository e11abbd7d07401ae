package io.tarragonport.api.id

import kotlinx.serialization.Serializable

/** Names a service: backend servers that answer the same requests. */
@Serializable
@JvmInline
value class ServiceId(
    val value: String,
) {
    override fun toString(): String = value
}
