package io.tarragonport.core.gateway.route

import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.gateway.GatewayConfiguration
import io.tarragonport.api.gateway.GatewayRoute
import io.tarragonport.api.gateway.GatewayService
import io.tarragonport.api.id.ServiceId

/** One version of the configuration, prepared for looking up routes, keys and services. */
class ActiveConfiguration(
    val content: GatewayConfiguration,
) {
    private val routes = RouteTable(content.routes)
    private val keys = KeyTable(content.organisations)

    val services: Map<ServiceId, GatewayService> = content.services.associateBy { it.id }

    /** Decides whether a request for [host] and [path] that came with [key] is served. */
    fun decide(
        host: String,
        path: String,
        key: String?,
    ): RouteDecision {
        val route = routes.find(host, path) ?: return RouteDecision.Refuse(ErrorKind.UNKNOWN_PATH, content.version)
        return if (route.openToAll || !keys.required) serve(route) else withKey(route, key)
    }

    private fun serve(route: GatewayRoute) = RouteDecision.Serve(content.version, route, null, route.priority)

    private fun withKey(
        route: GatewayRoute,
        key: String?,
    ): RouteDecision {
        key ?: return RouteDecision.Refuse(ErrorKind.KEY_MISSING, content.version)
        val access = keys.find(key) ?: return RouteDecision.Refuse(ErrorKind.KEY_UNKNOWN, content.version)
        return RouteDecision.Serve(content.version, route, access.organisation, access.priority ?: route.priority)
    }
}
