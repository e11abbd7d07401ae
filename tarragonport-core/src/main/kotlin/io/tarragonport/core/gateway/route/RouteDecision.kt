package io.tarragonport.core.gateway.route

import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.gateway.GatewayRoute
import io.tarragonport.api.id.ConfigurationVersion
import io.tarragonport.api.id.OrganisationId

/** Whether a request may be served, and as what. */
sealed interface RouteDecision {
    /** The request is served on [route] for [organisation], which is null on a route open to all. */
    data class Serve(
        val version: ConfigurationVersion,
        val route: GatewayRoute,
        val organisation: OrganisationId?,
        val priority: Int,
    ) : RouteDecision

    /** The request is answered with [kind]. */
    data class Refuse(
        val kind: ErrorKind,
        val version: ConfigurationVersion?,
    ) : RouteDecision
}
