package io.tarragonport.daemon.gateway.control

import io.tarragonport.api.id.ConfigurationVersion
import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.VmId
import io.tarragonport.api.peer.PeerEnvelope
import io.tarragonport.api.peer.PeerMessage
import io.tarragonport.daemon.peer.PeerTransport
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import kotlin.random.Random
import kotlin.time.Duration

/**
 * Passes the newest configuration and the list of servers on among the VMs, for those that the store does not answer.
 *
 * Each VM tells [FANOUT] others which configuration it has in force. Who has an older one, or none, asks for it; an older
 * one is never taken. Addresses come from the VMs' records, from the settings and from messages. Nothing here is relied
 * on while the store answers.
 */
internal class GatewayPeers(
    private val vm: VmId,
    private val incarnation: Incarnation,
    private val ownAddress: String,
    private val transport: PeerTransport,
    private val dispatcher: CoroutineDispatcher,
    private val configuration: ConfigurationFollower,
    private val servers: ServerFollower,
    private val interval: () -> Duration,
    private val random: Random = Random.Default,
    private val received: (VmId, PeerMessage) -> Unit = { _, _ -> },
) {
    private val addresses = linkedSetOf<String>()

    /** Takes addresses of other VMs. */
    fun updatePeers(found: Collection<String>) {
        addresses += found.filter { it != ownAddress }
        while (addresses.size > MOST_ADDRESSES) addresses.remove(addresses.first())
    }

    /** Receives until it is cancelled; other messages than those about knowledge of the store go to [received]. */
    suspend fun listen() = transport.run { envelope -> withContext(dispatcher) { receive(envelope) } }

    /** Announces until it is cancelled. */
    suspend fun announce() {
        while (true) {
            announceOnce()
            delay(interval())
        }
    }

    /** Tells some VMs which configuration is in force here. */
    fun announceOnce() {
        val state = PeerMessage.GatewayState(version(), ownAddress)
        addresses.shuffled(random).take(FANOUT).forEach { send(it, state) }
    }

    /** Takes a message of another VM. */
    fun receive(envelope: PeerEnvelope) {
        when (val message = envelope.message) {
            is PeerMessage.GatewayState -> {
                updatePeers(listOf(message.address))
                val incomplete = servers.known.isEmpty()
                if (message.configuration > version() || incomplete) {
                    send(message.address, PeerMessage.GatewaySnapshotRequest(ownAddress))
                }
            }

            is PeerMessage.GatewaySnapshotRequest -> {
                configuration.text?.let { text ->
                    send(message.address, PeerMessage.GatewaySnapshot(text, servers.entries))
                }
            }

            is PeerMessage.GatewaySnapshot -> {
                configuration.take(message.configuration)
                servers.adopt(message.servers)
            }

            else -> {
                received(envelope.from, message)
            }
        }
    }

    private fun version(): ConfigurationVersion =
        configuration.inForce?.content?.version ?: ConfigurationVersion(NO_VERSION)

    /** Sends [message] to the VM at [address]. */
    fun send(
        address: String,
        message: PeerMessage,
    ) = transport.send(address, PeerEnvelope(vm, incarnation, message))

    companion object {
        /** Below every version of a configuration. */
        private const val NO_VERSION = -1L

        /** With two, a third of a small deployment hears in one interval, and a large one in a few. */
        const val FANOUT = 2
        private const val MOST_ADDRESSES = 512
    }
}
