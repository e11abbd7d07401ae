package io.tarragonport.core.gateway.balance

import io.tarragonport.api.gateway.RegisteredServer
import io.tarragonport.api.id.BackendServerId

/**
 * The incarnations of backend servers whose responses said that they leave.
 *
 * An announcement does not end with the server's registration: an entry can expire during an outage of the platform's
 * object store and return after it, while the server still leaves. A restarted server is another incarnation.
 */
internal class LeavingAnnouncements {
    private data class Incarnation(
        val id: BackendServerId,
        val startedAtMs: Long,
        val address: String,
    )

    private val announced = LinkedHashSet<Incarnation>()

    /** Adds the incarnation of [server]; returns false if it was present. */
    fun add(server: RegisteredServer): Boolean {
        val added = announced.add(incarnation(server))
        if (announced.size > MAXIMUM_ANNOUNCEMENTS) announced.remove(announced.first())
        return added
    }

    operator fun contains(server: RegisteredServer): Boolean = incarnation(server) in announced

    private fun incarnation(server: RegisteredServer) = Incarnation(server.id, server.startedAtMs, server.address)

    private companion object {
        /** More than the servers of the largest deployment. */
        const val MAXIMUM_ANNOUNCEMENTS = 16_384
    }
}
