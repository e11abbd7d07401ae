package io.tarragonport.daemon.gateway.exchange

import io.tarragonport.api.id.OrganisationId

/** Learns of each request that a backend server began to run. */
internal fun interface UsageSink {
    fun began(organisation: OrganisationId)
}
