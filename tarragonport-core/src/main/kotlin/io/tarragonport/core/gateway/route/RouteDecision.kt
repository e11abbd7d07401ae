package io.tarragonport.core.gateway.route

import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.gateway.GatewayRoute
import io.tarragonport.api.id.ConfigurationVersion
import io.tarragonport.api.id.OrganisationId

/** Result of routing a request. */
sealed interface RouteDecision {
    /** The request is served on [route] for [organisation], which is null if no key is required. */
    data class Serve(
        val version: ConfigurationVersion,
        val route: GatewayRoute,
        val organisation: OrganisationId?,
        val priority: Int,
    ) : RouteDecision

    /** The request is refused with the error [kind]. */
    data class Refuse(
        val kind: ErrorKind,
        val version: ConfigurationVersion?,
    ) : RouteDecision
}
