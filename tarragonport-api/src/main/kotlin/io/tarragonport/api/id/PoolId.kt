package io.tarragonport.api.id

import kotlinx.serialization.Serializable

/** Identifies a pool of interchangeable backend servers. */
@Serializable
@JvmInline
value class PoolId(
    val value: String,
) {
    override fun toString(): String = value
}
