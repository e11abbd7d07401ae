package io.tarragonport.daemon.peer

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.peer.CrashRecord
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Guards against a request that crashes further servers through VMs that have not recorded its first crash yet. */
class PeerCrashTest {
    private fun record(number: Int) = CrashRecord("$number".padStart(64, 'f'), BackendServerId("quoting-1"))

    private suspend fun TestScope.joinedFleet() =
        TestFleet(this).also {
            it.startAll()
            delay(10.seconds)
        }

    /** Announces [count] crashes on `vm-0` concurrently; returns the VMs that miss any of them, and the time in ms. */
    private suspend fun TestScope.announce(
        fleet: TestFleet,
        count: Int,
    ): Pair<Set<String>, Long> {
        val start = currentTime
        val all = List(count, ::record)
        fleet.vms
            .getValue("vm-0")
            .recordedCrashes
            .merge(all)
        all
            .map {
                async {
                    fleet.vms
                        .getValue("vm-0")
                        .crashes
                        .announce(it)
                }
            }.awaitAll()
        val unaware = fleet.vms.filterValues { !it.recordedCrashes.crashes.containsAll(all) }.keys
        return unaware to currentTime - start
    }

    @Test
    fun `every VM of the region has recorded all crashes when their announcement ends`() =
        runTest {
            val random = Random(1)
            val losses = listOf(0.0, 0.2)
            for (lost in losses) {
                for (count in listOf(1, 40, 100)) {
                    val fleet = joinedFleet()
                    fleet.network.drops = { _, _ -> random.nextDouble() < lost }
                    val (unaware, milliseconds) = announce(fleet, count)
                    assertEquals(emptySet(), unaware, "$count crashes, $lost lost")
                    if (lost == 0.0) assertTrue(milliseconds <= 100, "$count crashes took $milliseconds ms")
                    fleet.stopAll()
                }
            }
        }

    @Test
    fun `a VM that does not acknowledge delays the announcement by a second at most`() =
        runTest {
            val fleet = joinedFleet()
            fleet.partition(listOf("vm-3"))
            assertEquals(setOf("vm-3") to CrashBroadcast.TIMEOUT.inWholeMilliseconds, announce(fleet, 1))
        }

    @Test
    fun `a VM that starts or rejoins after a crash receives it`() =
        runTest {
            val fleet = joinedFleet()
            fleet.partition(listOf("vm-3"))
            delay(15.seconds)
            announce(fleet, 1)
            fleet.heal()
            delay(15.seconds)
            fleet.start("vm-4")
            delay(3.seconds)
            listOf("vm-3", "vm-4").forEach {
                assertEquals(
                    setOf(record(0)),
                    fleet.vms
                        .getValue(it)
                        .recordedCrashes.crashes,
                    it,
                )
            }
        }

    @Test
    fun `a reported crash also reaches every VM by probes`() =
        runTest {
            val fleet = joinedFleet()
            fleet.vms
                .getValue("vm-0")
                .node
                .reportCrash("f")
            delay(3.seconds)
            val unaware = fleet.vms.filterValues { "f" !in it.node.crashes.value }.keys
            assertEquals(emptySet(), unaware)
        }
}
