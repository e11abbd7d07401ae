package io.tarragonport.api.gateway

import io.tarragonport.api.id.OrganisationId

/** An organisation with the keys of its callers; [priority] overrides the priority of the route if it is set. */
data class OrganisationAccess(
    val organisation: OrganisationId,
    val keys: List<String>,
    val priority: Int?,
) {
    override fun toString(): String = "OrganisationAccess($organisation, ${keys.size} keys)"
}
