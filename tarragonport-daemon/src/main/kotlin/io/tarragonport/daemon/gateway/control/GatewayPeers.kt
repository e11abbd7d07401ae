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
 * Distributes the newest configuration and the server list among the VMs by gossip, for VMs that cannot reach the
 * object store.
 *
 * Each VM announces the version of its active configuration to [FANOUT] others. A VM that has an older version, or
 * none, requests it; an older version is never applied. Addresses come from the VM records, the settings and messages.
 * Nothing depends on this exchange while the object store responds.
 */
internal class GatewayPeers(
    private val vm: VmId,
    private val incarnation: Incarnation,
    private val ownAddress: String,
    private val transport: PeerTransport,
    private val dispatcher: CoroutineDispatcher,
    private val configurationUpdater: ConfigurationUpdater,
    private val serverListUpdater: ServerListUpdater,
    private val interval: () -> Duration,
    private val random: Random = Random.Default,
    private val onOtherMessage: (VmId, PeerMessage) -> Unit = { _, _ -> },
) {
    private val addresses = linkedSetOf<String>()

    /** Adds addresses of other VMs; beyond [MAXIMUM_ADDRESSES], the oldest are dropped. */
    fun updatePeers(discovered: Collection<String>) {
        addresses += discovered.filter { it != ownAddress }
        while (addresses.size > MAXIMUM_ADDRESSES) addresses.remove(addresses.first())
    }

    /** Receives messages until cancelled; kinds of messages not handled here are passed to [onOtherMessage]. */
    suspend fun listen() = transport.run { envelope -> withContext(dispatcher) { receive(envelope) } }

    /** Announces the active configuration periodically until cancelled. */
    suspend fun announce() {
        while (true) {
            announceOnce()
            delay(interval())
        }
    }

    /** Announces the version of the active configuration to [FANOUT] random VMs. */
    fun announceOnce() {
        val state = PeerMessage.GatewayState(version(), ownAddress)
        addresses.shuffled(random).take(FANOUT).forEach { send(it, state) }
    }

    /** Handles a message from another VM. */
    fun receive(envelope: PeerEnvelope) {
        when (val message = envelope.message) {
            is PeerMessage.GatewayState -> {
                updatePeers(listOf(message.address))
                val withoutServers = serverListUpdater.registered.isEmpty()
                if (message.configuration > version() || withoutServers) {
                    send(message.address, PeerMessage.GatewaySnapshotRequest(ownAddress))
                }
            }

            is PeerMessage.GatewaySnapshotRequest -> {
                configurationUpdater.activeText?.let { text ->
                    send(message.address, PeerMessage.GatewaySnapshot(text, serverListUpdater.entries))
                }
            }

            is PeerMessage.GatewaySnapshot -> {
                configurationUpdater.applyIfNewer(message.configuration)
                serverListUpdater.adopt(message.servers)
            }

            else -> {
                onOtherMessage(envelope.from, message)
            }
        }
    }

    private fun version(): ConfigurationVersion =
        configurationUpdater.active?.content?.version ?: ConfigurationVersion(NO_VERSION)

    /** Sends [message] to the VM at [address]. */
    fun send(
        address: String,
        message: PeerMessage,
    ) = transport.send(address, PeerEnvelope(vm, incarnation, message))

    companion object {
        /** Lower than every configuration version. */
        private const val NO_VERSION = -1L

        /**
         * Number of VMs that receive each announcement. With two, an announcement reaches a third of a small deployment
         * in one interval and all of a large one in a few.
         */
        const val FANOUT = 2
        private const val MAXIMUM_ADDRESSES = 512
    }
}
