package io.tarragonport.core.gateway.fleet

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.VmId
import io.tarragonport.core.gateway.balance.ServerLoad
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

/** Guards against many VMs, each with a small part of the traffic, all choosing the same busy server. */
class LoadExchangeTest {
    private val clock = TestTimeSource()
    private val server = BackendServerId("s1")

    private inner class Fleet(
        size: Int,
    ) {
        val ids = (1..size).map { VmId("vm-$it") }
        val exchanges = ids.associateWith { LoadExchange(it, clock).apply { updatePeers(ids) } }
        val localLoads = ids.associateWith { mapOf(server to ServerLoad(1, 100)) }.toMutableMap()
        var sent = 0
        var mostSentByOne = 0

        fun round(lost: Set<VmId> = emptySet()) {
            ids.filter { it !in lost }.forEach { id ->
                val messages = exchanges.getValue(id).outgoing(localLoads.getValue(id))
                sent += messages.size
                mostSentByOne = maxOf(mostSentByOne, messages.size)
                messages.filter { it.receiver !in lost }.forEach { message ->
                    val to = exchanges.getValue(message.receiver)
                    if (message.isAggregate) to.receiveAggregate(message.loads) else to.receiveReport(id, message.loads)
                }
            }
        }

        fun otherVmLoads(): Set<Int> = ids.map { exchanges.getValue(it).otherVmLoads()[server]?.inFlight ?: 0 }.toSet()
    }

    @Test
    fun `every VM gets the load of all others in fleets of any size`() {
        listOf(1, 2, 7, 12, 13, 87, 410).forEach { size ->
            val fleet = Fleet(size)
            repeat(3) { fleet.round() }
            assertEquals(setOf(size - 1), fleet.otherVmLoads(), "$size VMs")
        }
    }

    @Test
    fun `the messages of one VM grow with the square root of the fleet size`() {
        listOf(7 to 6, 87 to 40, 410 to 80).forEach { (size, limit) ->
            val fleet = Fleet(size)
            fleet.round()
            assertTrue(fleet.mostSentByOne <= limit, "$size VMs: ${fleet.mostSentByOne}")
            assertTrue(fleet.sent <= size * 7, "$size VMs: ${fleet.sent} in total")
        }
    }

    @Test
    fun `the load of a lost VM expires`() {
        val fleet = Fleet(7)
        fleet.round()
        repeat(10) {
            clock += 500.milliseconds
            fleet.round(lost = setOf(VmId("vm-1")))
        }
        assertEquals(
            5,
            fleet.exchanges
                .getValue(VmId("vm-2"))
                .otherVmLoads()[server]
                ?.inFlight,
        )
    }

    @Test
    fun `VMs without load stop sending after one empty report`() {
        val fleet = Fleet(7)
        fleet.round()
        fleet.ids.forEach { fleet.localLoads[it] = emptyMap() }
        fleet.round()
        assertEquals(setOf(0), fleet.otherVmLoads())
        val before = fleet.sent
        fleet.round()
        assertEquals(before, fleet.sent)
    }
}
