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
import io.tarragonport.daemon.gateway.control.ConfigurationFollower
import io.tarragonport.daemon.gateway.control.ControlLog
import io.tarragonport.daemon.gateway.control.GatewayPeers
import io.tarragonport.daemon.gateway.control.ServerFollower
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
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

/** A VM that the store does not answer must learn the newest configuration from others and never take an older one. */
class GatewayPeersTest {
    private val network = mutableMapOf<String, Vm>()
    private val queue = ArrayDeque<Pair<String, ByteArray>>()

    private inner class Vm(
        number: Int,
    ) : PeerTransport {
        val address = "10.0.0.$number:7000"
        val log = ControlLog { _, _ -> }
        val configuration = ConfigurationFollower(log) { }
        var servers = emptyList<RegisteredServer>()
        val followed = ServerFollower(ServerRegistry(TestTimeSource()), log) { servers = it }
        val peers =
            GatewayPeers(
                VmId("vm-$number"),
                Incarnation(1),
                address,
                this,
                Dispatchers.Unconfined,
                configuration,
                followed,
                { 500.milliseconds },
                Random(number),
            )

        init {
            network[address] = this
        }

        val version: Long? get() =
            configuration.inForce
                ?.content
                ?.version
                ?.value

        override suspend fun run(receive: suspend (PeerEnvelope) -> Unit) = Unit

        override fun send(
            address: String,
            envelope: PeerEnvelope,
        ) {
            queue += address to PeerCodec.encode(envelope)
        }
    }

    private fun deliver() {
        while (queue.isNotEmpty()) {
            val (address, bytes) = queue.removeFirst()
            val envelope = PeerCodec.decode(bytes).getOrNull()
            envelope?.let { network[address]?.peers?.receive(it) }
        }
    }

    private fun configuration(version: Long): String =
        WireJson.encodeToString(
            ConfigurationWire.serializer(),
            ConfigurationWire(version, emptyList(), emptyList(), LimitsWire(1, 1, 1, 1)),
        )

    private fun Vm.store(version: Long) {
        configuration.changed(ObjectEntry(ConfigurationDecoder.NAME, ObjectVersion(version), configuration(version)))
        val server = ServerWire("s", "10.0.1.1:80", "a", 6, "ready", born = 1)
        val value = WireJson.encodeToString(ServerWire.serializer(), server)
        followed.listed(listOf(ObjectEntry("${ServerDecoder.PREFIX}i-1", ObjectVersion(1), value)), afterOutage = false)
    }

    @Test
    fun `a started VM without the store gets configuration and servers`() {
        val old = Vm(1).apply { store(4) }
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
    fun `news spreads and an older configuration never returns`() {
        val vms = (1..5).map { Vm(it) }
        vms.forEach { vm -> vm.peers.updatePeers(vms.map { it.address }) }
        vms.forEach { it.store(4) }
        vms.first().store(9)
        repeat(2) {
            vms.forEach { it.peers.announceOnce() }
            deliver()
        }
        assertEquals(List(5) { 9L }, vms.map { it.version })
    }

    @Test
    fun `what the store listed is not replaced by another VM's list`() {
        val empty = Vm(1).apply { followed.listed(emptyList(), afterOutage = false) }
        val other = Vm(2).apply { store(4) }
        other.peers.updatePeers(listOf(empty.address))
        other.peers.announceOnce()
        deliver()
        assertEquals(4, empty.version)
        assertEquals(emptyList(), empty.servers)
    }
}
