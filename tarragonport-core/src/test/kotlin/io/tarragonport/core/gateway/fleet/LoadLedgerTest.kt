package io.tarragonport.core.gateway.fleet

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.VmId
import io.tarragonport.core.gateway.balance.ServerLoad
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Guards against a ledger that counts a VM's load twice, keeps that of a VM that has ended, or loses the rest. */
class LoadLedgerTest {
    private val clock = TestTimeSource()
    private val ledger = LoadLedger(clock)
    private val server = BackendServerId("s")
    private val vms = (1..5).map { VmId("vm-$it") }

    private fun update(
        vm: VmId,
        inFlight: Int,
    ) = ledger.update(vm, mapOf(server to ServerLoad(inFlight, inFlight * 100L)))

    @Test
    fun `repeated and reordered messages leave the last total of each VM`() {
        repeat(3) { update(vms[0], 4) }
        update(vms[1], 2)
        update(vms[0], 1)
        assertEquals(ServerLoad(3, 300), ledger.others(server, vms[4]))
        assertEquals(ServerLoad(2, 200), ledger.others(server, vms[0]))
    }

    @Test
    fun `the load of a VM that no longer repeats it is forgotten`() {
        update(vms[0], 4)
        clock += LoadLedger.LIFETIME - 1.seconds
        update(vms[1], 2)
        clock += 2.seconds
        assertEquals(ServerLoad(2, 200), ledger.others(server, vms[4]))
        update(vms[1], 0)
        assertEquals(ServerLoad.NONE, ledger.others(server, vms[4]))
        assertEquals(0, ledger.size)
    }

    @Test
    fun `the ledger never has more than the VMs that repeat their loads have`() {
        repeat(200) { seed ->
            val random = Random(seed)
            val live = vms.associateWith { 0 }.toMutableMap()
            repeat(100) {
                val vm = vms.random(random)
                when (random.nextInt(4)) {
                    0 -> live.remove(vm)
                    1 -> clock += LoadLedger.LIFETIME / 8
                    else -> live[vm] = random.nextInt(9)
                }
                live.forEach { (vm, inFlight) -> update(vm, inFlight) }
            }
            clock += LoadLedger.LIFETIME
            live.forEach { (vm, inFlight) -> update(vm, inFlight) }
            clock += 1.seconds
            val asking = VmId("asking")
            assertTrue(ledger.others(server, asking).inFlight <= live.values.sum(), "seed $seed")
            assertEquals(live.values.sum(), ledger.others(server, asking).inFlight, "seed $seed")
            vms.forEach { update(it, 0) }
        }
    }
}
