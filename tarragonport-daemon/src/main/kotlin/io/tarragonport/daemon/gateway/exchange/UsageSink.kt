package io.tarragonport.daemon.gateway.exchange

import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.ServiceId

/** Learns what is sent to services and which requests began to run there. */
internal interface UsageSink {
    /** A backend server began to run a request of [organisation]. */
    fun began(organisation: OrganisationId)

    /** A request that makes an engine read [tokens] was sent to [service]. */
    fun sent(
        service: ServiceId,
        tokens: Int,
    )

    /** A request sent to [service] ended. */
    fun ended(service: ServiceId)
}
