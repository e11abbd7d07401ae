package io.tarragonport.daemon.gateway.egress

import io.netty.channel.EventLoop
import io.tarragonport.api.gateway.RegisteredServer
import io.tarragonport.core.gateway.balance.TrackedServer
import kotlin.time.TimeSource

/** The connections of this VM to all backend servers; used by the traffic thread only. */
internal class ConnectionPools(
    private val loop: EventLoop,
    private val clock: TimeSource.WithComparableMarks,
) {
    private val pools = HashMap<RegisteredServer, ServerConnections>()

    /** The connections to [server]'s present incarnation. */
    fun of(server: RegisteredServer): ServerConnections =
        pools.getOrPut(key(server)) { ServerConnections(server, loop, clock) }

    /** A server ended or started again: its idle connections are closed. */
    fun ended(state: TrackedServer) {
        pools.remove(key(state.registered))?.retire()
    }

    /** An incarnation is one id at one address; what else a registration says changes over time. */
    private fun key(server: RegisteredServer): RegisteredServer =
        server.copy(slots = 0, leaving = false, cheap = false, leavesIn = null)
}
