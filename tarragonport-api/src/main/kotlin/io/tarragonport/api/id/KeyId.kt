package io.tarragonport.api.id

import kotlinx.serialization.Serializable

/** Identifies a key without revealing it; safe in logs and peer messages. */
@Serializable
@JvmInline
value class KeyId(
    val value: String,
) {
    override fun toString(): String = value
}
