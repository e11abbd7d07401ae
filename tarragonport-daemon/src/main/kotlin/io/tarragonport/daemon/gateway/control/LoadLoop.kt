package io.tarragonport.daemon.gateway.control

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.VmId
import io.tarragonport.api.peer.PeerMessage
import io.tarragonport.api.peer.ServerLoadShare
import io.tarragonport.core.gateway.balance.ServerLoad
import io.tarragonport.core.gateway.fleet.LoadExchange
import io.tarragonport.core.gateway.fleet.VmRecord
import kotlinx.coroutines.delay
import kotlin.time.Duration

/**
 * Exchanges the load at backend servers with the other VMs.
 *
 * [exchangeWithTrafficThread] passes the load of the other VMs to the traffic thread and returns this VM's own latest
 * load.
 */
internal class LoadLoop(
    private val vm: VmId,
    private val exchange: LoadExchange,
    private val interval: () -> Duration,
    private val send: (address: String, PeerMessage) -> Unit,
    private val exchangeWithTrafficThread:
        (otherVmLoads: Map<BackendServerId, ServerLoad>) -> Map<BackendServerId, ServerLoad>,
) {
    private var addresses: Map<VmId, String> = emptyMap()

    /** Updates the set of live VMs and their addresses. */
    fun updatePeers(live: List<VmRecord>) {
        addresses = live.filter { it.vm != vm }.associate { it.vm to it.peerAddress }
        exchange.updatePeers(addresses.keys)
    }

    /** Runs until cancelled. */
    suspend fun run() {
        while (true) {
            exchangeOnce()
            delay(interval())
        }
    }

    /** Sends one round of load messages. */
    fun exchangeOnce() {
        val localLoads = exchangeWithTrafficThread(exchange.otherVmLoads())
        exchange.outgoing(localLoads).forEach { message ->
            val shares = message.loads.map { (id, load) -> ServerLoadShare(id, load.inFlight, load.unprocessedTokens) }
            val content =
                if (message.isAggregate) PeerMessage.AggregateLoad(shares) else PeerMessage.VmLoadReport(shares)
            addresses[message.receiver]?.let { send(it, content) }
        }
    }

    /** Handles a message from the VM [from]. */
    fun receive(
        from: VmId,
        message: PeerMessage,
    ) {
        when (message) {
            is PeerMessage.VmLoadReport -> exchange.receiveReport(from, loads(message.loads))
            is PeerMessage.AggregateLoad -> exchange.receiveAggregate(loads(message.loads))
            else -> Unit
        }
    }

    private fun loads(shares: List<ServerLoadShare>): Map<BackendServerId, ServerLoad> =
        shares.associate { it.server to ServerLoad(it.inFlight, it.unprocessedTokens) }
}
