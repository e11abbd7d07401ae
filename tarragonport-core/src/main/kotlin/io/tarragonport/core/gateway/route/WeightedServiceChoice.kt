package io.tarragonport.core.gateway.route

import io.tarragonport.api.gateway.GatewayRoute
import io.tarragonport.api.id.RequestId
import io.tarragonport.api.id.ServiceId
import io.tarragonport.core.routing.RendezvousHash

/** Distributes the requests of a route among its services by weight. */
object WeightedServiceChoice {
    /** The service for request [id], null if no service has a weight. */
    fun of(
        route: GatewayRoute,
        id: RequestId?,
    ): ServiceId? {
        if (route.services.size == 1) return route.services.single().service
        val total = route.services.sumOf { it.weight }
        if (total <= 0) return null
        var remaining = Math.floorMod(RendezvousHash.of(id?.value.orEmpty()), total)
        return route.services.first { (remaining - it.weight).also { after -> remaining = after } < 0 }.service
    }
}
