package io.tarragonport.daemon.gateway

import io.tarragonport.api.configuration.WireJson
import io.tarragonport.api.gateway.RegisteredServer
import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.id.VmId
import io.tarragonport.api.peer.PeerCodec
import io.tarragonport.api.peer.PeerEnvelope
import io.tarragonport.api.platform.ObjectEntry
import io.tarragonport.core.gateway.registry.ServerRegistry
import io.tarragonport.core.store.StoreEras
import io.tarragonport.daemon.gateway.control.ConfigurationUpdater
import io.tarragonport.daemon.gateway.control.ControlLog
import io.tarragonport.daemon.gateway.control.GatewayPeers
import io.tarragonport.daemon.gateway.control.ServerListUpdater
import io.tarragonport.daemon.peer.PeerTransport
import io.tarragonport.wire.ConfigurationDecoder
import io.tarragonport.wire.ConfigurationWire
import io.tarragonport.wire.LimitsWire
import io.tarragonport.wire.ServerDecoder
import io.tarragonport.wire.ServerWire
import kotlinx.coroutines.Dispatchers
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

/**
 * A VM that cannot reach the object store must receive the newest configuration from peers and never apply an older
 * one.
 */
class GatewayPeersTest {
    private val network = mutableMapOf<String, Vm>()
    private val sentMessages = ArrayDeque<Pair<String, ByteArray>>()

    private inner class Vm(
        number: Int,
    ) : PeerTransport {
        val address = "10.0.0.$number:7000"
        val log = ControlLog { _, _ -> }
        val eras = StoreEras()
        val configurationUpdater = ConfigurationUpdater(log) { }
        var servers = emptyList<RegisteredServer>()
        val serverListUpdater: ServerListUpdater =
            ServerListUpdater(ServerRegistry(TestTimeSource()), log, { peers.passOn(it) }) {
                servers =
                    it
            }
        val peers: GatewayPeers =
            GatewayPeers(
                VmId("vm-$number"),
                Incarnation(1),
                address,
                this,
                Dispatchers.Unconfined,
                configurationUpdater,
                serverListUpdater,
                eras,
                { 500.milliseconds },
                TestTimeSource(),
                Random(number),
            )

        init {
            network[address] = this
        }

        val version: Long? get() =
            configurationUpdater.active
                ?.content
                ?.version
                ?.value

        override suspend fun run(receive: suspend (PeerEnvelope) -> Unit) = Unit

        override fun send(
            address: String,
            envelope: PeerEnvelope,
        ) {
            sentMessages += address to PeerCodec.encode(envelope)
        }
    }

    private fun deliver() {
        while (sentMessages.isNotEmpty()) {
            val (address, bytes) = sentMessages.removeFirst()
            val envelope = PeerCodec.decode(bytes).getOrNull()
            envelope?.let { network[address]?.peers?.receive(it) }
        }
    }

    private fun configuration(version: Long): String =
        WireJson.encodeToString(
            ConfigurationWire.serializer(),
            ConfigurationWire(version, emptyList(), emptyList(), LimitsWire(1, 1, 1, 1)),
        )

    private fun Vm.loadFromStore(version: Long) {
        configurationUpdater.onChange(
            ObjectEntry(ConfigurationDecoder.NAME, ObjectVersion(version), configuration(version)),
        )
        val server = ServerWire("s", "10.0.1.1:80", "a", 6, "ready", born = 1)
        val value = WireJson.encodeToString(ServerWire.serializer(), server)
        serverListUpdater.onListing(
            listOf(ObjectEntry("${ServerDecoder.PREFIX}i-1", ObjectVersion(1), value)),
            afterOutage = false,
        )
    }

    @Test
    fun `a new VM that cannot reach the object store receives configuration and servers from a peer`() {
        val old = Vm(1).apply { loadFromStore(4) }
        val started = Vm(2)
        started.peers.updatePeers(listOf(old.address))
        started.peers.announceOnce()
        deliver()
        assertNull(started.version)
        old.peers.announceOnce()
        deliver()
        assertEquals(4, started.version)
        assertEquals(listOf("i-1"), started.servers.map { it.id.value })
    }

    @Test
    fun `a newer configuration reaches all VMs and is not replaced by an older one`() {
        val vms = (1..5).map { Vm(it) }
        vms.forEach { vm -> vm.peers.updatePeers(vms.map { it.address }) }
        vms.forEach { it.loadFromStore(4) }
        vms.first().loadFromStore(9)
        repeat(2) {
            vms.forEach { it.peers.announceOnce() }
            deliver()
        }
        assertEquals(List(5) { 9L }, vms.map { it.version })
    }

    @Test
    fun `a listing from the object store is not replaced by a peer's list`() {
        val empty = Vm(1).apply { serverListUpdater.onListing(emptyList(), afterOutage = false) }
        val other = Vm(2).apply { loadFromStore(4) }
        other.peers.updatePeers(listOf(empty.address))
        other.peers.announceOnce()
        deliver()
        assertEquals(4, empty.version)
        assertEquals(emptyList(), empty.servers)
    }

    /** Pattern: servers of a large fleet leave while most VMs watch the object store with a lag. */
    @Test
    fun `a change that few VMs have read from the object store reaches nearly all VMs`() {
        val vms = (1..FLEET_SIZE).map { Vm(it) }
        vms.forEach { vm -> vm.peers.updatePeers(vms.map { it.address }) }
        vms.forEach { it.loadFromStore(4) }
        vms.forEach { it.peers.spreadOnce() }
        deliver()
        vms.take(CURRENT_WATCHERS).forEach {
            it.serverListUpdater.onChange(ObjectEntry("${ServerDecoder.PREFIX}i-1", ObjectVersion(7), deleted = true))
        }
        var messages = 0
        repeat(ROUNDS) {
            vms.forEach { it.peers.spreadOnce() }
            messages += sentMessages.size
            deliver()
        }
        val reached = vms.count { it.servers.isEmpty() }
        assertTrue(reached >= FLEET_SIZE * 95 / 100, "$reached of $FLEET_SIZE VMs")
        assertTrue(messages <= FLEET_SIZE * GatewayPeers.SPREAD_FANOUT, "$messages messages")
    }

    private companion object {
        const val FLEET_SIZE = 300
        const val CURRENT_WATCHERS = 7
        const val ROUNDS = 10
    }
}
