package io.tarragonport.api.id

import kotlinx.serialization.Serializable

/** Identifies an organisation, the unit of billing, limits and fair sharing. */
@Serializable
@JvmInline
value class OrganisationId(
    val value: String,
) {
    override fun toString(): String = value
}
