package io.tarragonport.daemon.gateway

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.VmId
import io.tarragonport.api.peer.PeerCodec
import io.tarragonport.api.peer.PeerEnvelope
import io.tarragonport.core.gateway.balance.ServerLoad
import io.tarragonport.core.gateway.fleet.LoadLedger
import io.tarragonport.core.gateway.fleet.VmRecord
import io.tarragonport.daemon.gateway.control.LoadKeeper
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.TestTimeSource

/** Guards against loads that are lost or kept for ever when the VM that keeps them ends, is frozen or cut off. */
class LoadKeeperTest {
    private val clock = TestTimeSource()
    private val lost = mutableSetOf<VmId>()
    private val messages = ArrayDeque<Pair<Vm, PeerEnvelope>>()
    private val vms = (1..20).map { Vm(VmId("vm-$it"), "10.0.0.$it:7000") }
    private val server = BackendServerId("s")

    private inner class Vm(
        val id: VmId,
        val address: String,
    ) {
        val keeper =
            LoadKeeper(id, clock) { receiver, message ->
                val bytes = PeerCodec.encode(PeerEnvelope(id, Incarnation(1), message))
                val envelope = checkNotNull(PeerCodec.decode(bytes).getOrNull())
                messages.addLast(vms.single { it.address == receiver } to envelope)
            }

        /** The load of the other VMs at [server]; null if no answer came. */
        fun ask(): ServerLoad? {
            var answer: ServerLoad? = null
            keeper.ask(listOf(server)) { answer = it.getValue(server) }
            deliver()
            return answer
        }
    }

    private fun deliver() {
        while (messages.isNotEmpty()) {
            val (receiver, envelope) = messages.removeFirst()
            if (receiver.id !in lost && envelope.from !in lost) receiver.keeper.receive(envelope.from, envelope.message)
        }
    }

    private fun live(live: List<Vm>) {
        val records = live.map { VmRecord(it.id, Incarnation(1), it.address, 1, emptyMap(), emptyMap()) }
        live.forEach { it.keeper.updatePeers(records) }
    }

    /** Every VM has one request at the server. */
    private fun passOn(from: List<Vm>) {
        from.forEach { it.keeper.changed(mapOf(server to ServerLoad(1, 100))) }
        deliver()
    }

    /** The VM that keeps the server's load: the one that answers itself. */
    private fun keeper(): Vm =
        vms.single { vm ->
            var answered = false
            vm.keeper.ask(listOf(server)) { answered = true }
            messages.clear()
            answered
        }

    @Test
    fun `every VM hears the load of all others from the one that keeps it`() {
        live(vms)
        passOn(vms)
        vms.forEach { assertEquals(ServerLoad(19, 1_900), it.ask(), "${it.id}") }
    }

    @Test
    fun `while the keeper is gone nobody hears anything, and its successor knows all loads once they are repeated`() {
        live(vms)
        passOn(vms)
        val keeper = keeper()
        lost += keeper.id
        val rest = vms - keeper
        rest.forEach { assertEquals(null, it.ask(), "${it.id}") }
        live(rest)
        passOn(rest)
        rest.forEach { assertEquals(ServerLoad(18, 1_800), it.ask(), "${it.id}") }
    }

    @Test
    fun `a keeper that was frozen or cut off answers with nothing outdated when it is back`() {
        live(vms)
        passOn(vms)
        lost += keeper().id
        clock += LoadLedger.LIFETIME * 2
        lost.clear()
        val asking = vms.first { it != keeper() }
        assertEquals(ServerLoad.NONE, asking.ask())
        passOn(vms)
        assertEquals(ServerLoad(19, 1_900), asking.ask())
    }

    @Test
    fun `nothing is passed on in a fleet whose reports are not late`() {
        live(vms.take(7))
        passOn(vms.take(7))
        assertEquals(0, messages.size)
    }
}
