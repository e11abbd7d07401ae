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
 * Tells other VMs what this one has at backend servers, and takes what they tell.
 *
 * [exchanged] hands what the others have to the traffic thread and returns what this VM had there lately.
 */
internal class LoadLoop(
    private val self: VmId,
    private val exchange: LoadExchange,
    private val interval: () -> Duration,
    private val send: (address: String, PeerMessage) -> Unit,
    private val exchanged: (others: Map<BackendServerId, ServerLoad>) -> Map<BackendServerId, ServerLoad>,
) {
    private var addresses: Map<VmId, String> = emptyMap()

    /** Takes the records of the VMs that live now. */
    fun updatePeers(live: List<VmRecord>) {
        addresses = live.filter { it.vm != self }.associate { it.vm to it.peerAddress }
        exchange.updatePeers(addresses.keys)
    }

    /** Runs until it is cancelled. */
    suspend fun run() {
        while (true) {
            exchangeOnce()
            delay(interval())
        }
    }

    /** Sends one round of reports. */
    fun exchangeOnce() {
        val own = exchanged(exchange.others())
        exchange.outgoing(own).forEach { message ->
            val shares = message.loads.map { (id, load) -> ServerLoadShare(id, load.inFlight, load.unreadTokens) }
            val content = if (message.ofOthers) PeerMessage.AggregateLoad(shares) else PeerMessage.VmLoadReport(shares)
            addresses[message.receiver]?.let { send(it, content) }
        }
    }

    /** Takes a message of the VM [from]. */
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
        shares.associate { it.server to ServerLoad(it.inFlight, it.unreadTokens) }
}
