package io.tarragonport.api.id

import kotlinx.serialization.Serializable

/** Identifies a region: a group of failure domains with a latency of about one millisecond between them. */
@Serializable
@JvmInline
value class RegionId(
    val value: String,
) {
    override fun toString(): String = value
}
