package io.tarragonport.api.id

import kotlinx.serialization.Serializable

/** Identifies a failure domain: machines that can fail together. */
@Serializable
@JvmInline
value class FailureDomainId(
    val value: String,
) {
    override fun toString(): String = value
}
