package io.tarragonport.api.configuration

import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.PoolId
import io.tarragonport.api.id.RequestClassId
import kotlinx.serialization.Serializable

/**
 * Allows requests of [classes] to use [pool].
 *
 * If [organisations] is empty, all organisations may use the route. [openToAll] permits callers without a key; their
 * requests are billed to [openOrganisation].
 */
@Serializable
data class Route(
    val id: String,
    val classes: List<RequestClassId>,
    val pool: PoolId,
    val organisations: List<OrganisationId> = emptyList(),
    val openToAll: Boolean = false,
    val openOrganisation: OrganisationId? = null,
)
