package io.tarragonport.core.gateway.route

import io.tarragonport.api.gateway.GatewayRoute
import io.tarragonport.api.id.RequestId
import io.tarragonport.api.id.ServiceId
import io.tarragonport.core.routing.RendezvousHash

/** Divides the requests of a route among its services by their weights. */
object WeightedServiceChoice {
    /** The service for request [id], null if no service has a weight. */
    fun of(
        route: GatewayRoute,
        id: RequestId?,
    ): ServiceId? {
        if (route.services.size == 1) return route.services.single().service
        val total = route.services.sumOf { it.weight }
        if (total <= 0) return null
        var rest = Math.floorMod(RendezvousHash.of(id?.value.orEmpty()), total)
        return route.services.first { (rest - it.weight).also { left -> rest = left } < 0 }.service
    }
}
