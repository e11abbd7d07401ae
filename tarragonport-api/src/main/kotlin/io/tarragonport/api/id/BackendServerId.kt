package io.tarragonport.api.id

import kotlinx.serialization.Serializable

/** Identifies a backend server: a model engine or a plain service. */
@Serializable
@JvmInline
value class BackendServerId(
    val value: String,
) {
    override fun toString(): String = value
}
