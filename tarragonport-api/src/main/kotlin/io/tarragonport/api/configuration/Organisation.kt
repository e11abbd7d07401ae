package io.tarragonport.api.configuration

import io.tarragonport.api.id.OrganisationId
import kotlinx.serialization.Serializable

/** An organisation; [weight] is its share of capacity relative to other organisations in the same request class. */
@Serializable
data class Organisation(
    val id: OrganisationId,
    val name: String = "",
    val weight: Int = 1,
)
