package io.tarragonport.daemon.gateway.egress

import io.netty.channel.EventLoop
import io.tarragonport.api.gateway.RegisteredServer
import io.tarragonport.core.gateway.balance.TrackedServer
import kotlin.time.TimeSource

/** The connection pools of this VM for all backend servers; used by the traffic thread only. */
internal class ConnectionPools(
    private val loop: EventLoop,
    private val clock: TimeSource.WithComparableMarks,
) {
    private val pools = HashMap<RegisteredServer, ServerConnectionPool>()

    /** The connection pool for the current incarnation of [server]. */
    fun of(server: RegisteredServer): ServerConnectionPool =
        pools.getOrPut(key(server)) { ServerConnectionPool(server, loop, clock) }

    /** Closes the idle connections of a server that has ended or restarted. */
    fun retire(server: TrackedServer) {
        pools.remove(key(server.registered))?.retire()
    }

    /** An incarnation is identified by id, address and start time; the fields cleared here change while it runs. */
    private fun key(server: RegisteredServer): RegisteredServer =
        server.copy(slots = 0, leaving = false, cheap = false, leavesIn = null)
}
