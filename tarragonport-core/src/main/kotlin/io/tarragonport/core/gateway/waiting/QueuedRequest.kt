package io.tarragonport.core.gateway.waiting

import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.ServiceId

/** A request that can wait for a backend server. */
interface QueuedRequest {
    val service: ServiceId

    /** Lower numbers are served first. */
    val priority: Int

    /** The organisation that is served, null if none is known. */
    val organisation: OrganisationId? get() = null

    /** The session or subject of the request, null if it has none. */
    val session: String? get() = null

    /** The work of the request in comparison with others of its service, for model engines in tokens. */
    val work: Double get() = 1.0

    /** Whether servers are excluded for this request, so that it says nothing about the capacity left for others. */
    val excludesServers: Boolean

    /** Sends the request to a server with capacity; returns false if there is none. */
    fun dispatch(): Boolean
}
