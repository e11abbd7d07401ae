package io.tarragonport.daemon.gateway.control

import io.tarragonport.api.id.ConfigurationVersion
import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.VmId
import io.tarragonport.api.peer.PeerEnvelope
import io.tarragonport.api.peer.PeerMessage
import io.tarragonport.api.peer.ServerEntryChange
import io.tarragonport.core.store.StoreEras
import io.tarragonport.daemon.peer.PeerTransport
import io.tarragonport.wire.ServerDecoder
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Distributes the newest configuration and the server list among the VMs by gossip, for VMs that cannot reach the
 * object store.
 *
 * Each VM announces the version of its active configuration to [FANOUT] others. A VM that has an older version, or
 * none, requests it; an older version is never applied. Addresses come from the VM records, the settings and messages.
 * In a large fleet most VMs watch the object store with a lag; changes of configuration and servers reach them by
 * [spreadChanges] sooner. What is lost on the way comes with their own watch. Messages carry the era of the object store:
 * a later era than that in [eras] begins here too, and changes of an earlier one are ignored.
 */
internal class GatewayPeers(
    private val vm: VmId,
    private val incarnation: Incarnation,
    private val ownAddress: String,
    private val transport: PeerTransport,
    private val dispatcher: CoroutineDispatcher,
    private val configurationUpdater: ConfigurationUpdater,
    private val serverListUpdater: ServerListUpdater,
    private val eras: StoreEras,
    private val interval: () -> Duration,
    private val clock: TimeSource.WithComparableMarks,
    private val random: Random = Random.Default,
    private val onOtherChanges: (List<ServerEntryChange>) -> Unit = {},
    private val onOtherMessage: (VmId, PeerMessage) -> Unit = { _, _ -> },
) {
    private val addresses = linkedSetOf<String>()
    private val unsentChanges = mutableListOf<ServerEntryChange>()
    private val changeSignal = Channel<Unit>(Channel.CONFLATED)
    private var requested: RequestedVersion? = null

    /** Version of the configuration that was announced with the last round of [spreadChanges]. */
    private var announcedVersion = ConfigurationVersion(NO_VERSION)

    private class RequestedVersion(
        val version: ConfigurationVersion,
        val requestedAt: ComparableTimeMark,
    )

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
    fun announceOnce() = sendToRandom(FANOUT, PeerMessage.GatewayState(version(), ownAddress, eras.current))

    /** Passes [change] on to other VMs with the next round of [spreadChanges]. */
    fun passOn(change: ServerEntryChange) {
        unsentChanges += change
        changeSignal.trySend(Unit)
    }

    /** Discards the changes that have not been sent, because the object store was restored from an older copy. */
    fun storeRestored() = unsentChanges.clear()

    /** Announces a new active configuration with the next round of [spreadChanges]. */
    fun configurationChanged() {
        changeSignal.trySend(Unit)
    }

    /** Passes changes on to [SPREAD_FANOUT] random VMs, each of which does the same; runs until cancelled. */
    suspend fun spreadChanges() {
        for (signal in changeSignal) {
            delay(SPREAD_DELAY)
            spreadOnce()
        }
    }

    /** Sends the changes collected since the last round, and the version of the configuration if it is new. */
    fun spreadOnce() {
        if (unsentChanges.isNotEmpty()) {
            sendToRandom(SPREAD_FANOUT, PeerMessage.GatewayServerChanges(unsentChanges.toList(), eras.current))
            unsentChanges.clear()
        }
        if (version() != announcedVersion) {
            announcedVersion = version()
            sendToRandom(SPREAD_FANOUT, PeerMessage.GatewayState(version(), ownAddress, eras.current))
        }
    }

    /** Sends [message] to [count] random VMs. */
    fun sendToRandom(
        count: Int,
        message: PeerMessage,
    ) = addresses.shuffled(random).take(count).forEach { send(it, message) }

    /** Handles a message from another VM. */
    fun receive(envelope: PeerEnvelope) {
        when (val message = envelope.message) {
            is PeerMessage.GatewayState -> {
                updatePeers(listOf(message.address))
                eras.accept(message.era)
                val withoutServers = serverListUpdater.registered.isEmpty()
                val newer = message.configuration > version() && !alreadyRequested(message.configuration)
                if (newer || withoutServers) {
                    requested = RequestedVersion(message.configuration, clock.markNow())
                    send(message.address, PeerMessage.GatewaySnapshotRequest(ownAddress, withoutServers))
                }
            }

            is PeerMessage.GatewaySnapshotRequest -> {
                configurationUpdater.activeText?.let { text ->
                    val servers = if (message.withServers) serverListUpdater.entries else emptyMap()
                    send(message.address, PeerMessage.GatewaySnapshot(text, servers))
                }
            }

            is PeerMessage.GatewaySnapshot -> {
                configurationUpdater.applyIfNewer(message.configuration)
                serverListUpdater.adopt(message.servers)
            }

            is PeerMessage.GatewayServerChanges -> {
                if (!eras.accept(message.era)) return
                val (servers, others) = message.changes.partition { it.name.startsWith(ServerDecoder.PREFIX) }
                serverListUpdater.onPeerChanges(servers)
                onOtherChanges(others)
            }

            else -> {
                onOtherMessage(envelope.from, message)
            }
        }
    }

    private fun alreadyRequested(version: ConfigurationVersion): Boolean =
        requested?.let { it.version >= version && it.requestedAt.elapsedNow() < REQUEST_TIMEOUT } ?: false

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

        /** With four receivers each, a change reaches 98 of 100 VMs in a few rounds; the own watch brings it to all. */
        const val SPREAD_FANOUT = 4

        /** Servers of a failure domain are reclaimed within some tens of milliseconds of each other. */
        val SPREAD_DELAY: Duration = 20.milliseconds

        /** A snapshot that has not arrived after this time is requested again. */
        private val REQUEST_TIMEOUT: Duration = 1.seconds
        private const val MAXIMUM_ADDRESSES = 512
    }
}
