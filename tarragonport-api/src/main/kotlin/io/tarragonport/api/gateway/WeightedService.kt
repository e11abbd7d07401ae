package io.tarragonport.api.gateway

import io.tarragonport.api.id.ServiceId

/** A service of a route; [weight] is its share of the route's requests relative to the route's other services. */
data class WeightedService(
    val service: ServiceId,
    val weight: Int,
)
