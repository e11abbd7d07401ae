package io.tarragonport.core.gateway.route

import io.tarragonport.api.gateway.GatewayRoute

/**
 * Finds the route of a request: among the routes of its host, the one with the longest matching path prefix.
 *
 * Prefixes begin and end with a slash, so a lookup tries the path up to each of its slashes, and its cost is
 * independent of the number of routes.
 */
class RouteTable(
    routes: List<GatewayRoute>,
) {
    private val byHost: Map<String, Map<String, GatewayRoute>> =
        routes.groupBy { it.host }.mapValues { (_, hostRoutes) -> hostRoutes.associateBy { it.pathPrefix } }

    /** The route for [host] (a `Host` header, with or without a port) and [path] (without the query), or null. */
    fun find(
        host: String,
        path: String,
    ): GatewayRoute? {
        val routesByPrefix = byHost[host.substringBefore(':').lowercase()] ?: return null
        var end = path.lastIndexOf('/')
        while (end >= 0) {
            routesByPrefix[path.substring(0, end + 1)]?.let { return it }
            end = if (end == 0) -1 else path.lastIndexOf('/', end - 1)
        }
        return null
    }
}
