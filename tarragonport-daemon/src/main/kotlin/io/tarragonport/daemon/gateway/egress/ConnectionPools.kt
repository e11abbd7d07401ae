package io.tarragonport.daemon.gateway.egress

import io.netty.channel.EventLoop
import io.tarragonport.api.gateway.RegisteredServer
import io.tarragonport.core.gateway.balance.TrackedServer
import kotlin.time.TimeSource

/** The connection pools of this VM for all backend servers; used by the traffic thread only. */
internal class ConnectionPools(
    private val loop: EventLoop,
    private val clock: TimeSource.WithComparableMarks,
    private val inputReceived: () -> Unit,
    private val onUnexpectedInput: (RegisteredServer) -> Unit,
) {
    // Each incarnation of a server is tracked by an object of its own, compared by identity.
    private val pools = HashMap<TrackedServer, ServerConnectionPool>()

    /** The connection pool for this incarnation of [server]. */
    fun of(server: TrackedServer): ServerConnectionPool =
        pools.getOrPut(server) {
            ServerConnectionPool(server.registered, loop, clock, inputReceived, onUnexpectedInput)
        }

    /** The connections to this incarnation of [server] whose end would be noticed. */
    fun observed(server: TrackedServer): List<ServerConnection> = pools[server]?.observed().orEmpty()

    /** Closes the idle connections of a server that has ended or restarted. */
    fun retire(server: TrackedServer) {
        pools.remove(server)?.retire()
    }
}
