package io.tarragonport.core.routing

import io.tarragonport.api.id.BackendServerId

/** The server chosen for a request, the servers with nearly the same cost, and the reason for the choice. */
internal class RouteChoice(
    val server: RoutedServer,
    val candidates: List<BackendServerId>,
    val reason: String,
)
