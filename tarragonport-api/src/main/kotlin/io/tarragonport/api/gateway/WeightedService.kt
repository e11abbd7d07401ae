package io.tarragonport.api.gateway

import io.tarragonport.api.id.ServiceId

/** A service with its share of the requests of a route, relative to the other services of that route. */
data class WeightedService(
    val service: ServiceId,
    val weight: Int,
)
