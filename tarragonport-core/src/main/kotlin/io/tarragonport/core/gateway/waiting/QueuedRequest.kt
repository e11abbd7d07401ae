package io.tarragonport.core.gateway.waiting

import io.tarragonport.api.id.ServiceId

/** A request that can wait for a backend server. */
interface QueuedRequest {
    val service: ServiceId

    /** Lower numbers are served first. */
    val priority: Int

    /** Whether servers are excluded for this request, so that it says nothing about the capacity left for others. */
    val excludesServers: Boolean

    /** Sends the request to a server with capacity; returns false if there is none. */
    fun dispatch(): Boolean
}
