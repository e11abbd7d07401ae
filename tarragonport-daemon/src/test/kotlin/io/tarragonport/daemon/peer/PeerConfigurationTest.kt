package io.tarragonport.daemon.peer

import io.tarragonport.api.id.ObjectVersion
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against VMs that miss, revert or never receive a configuration while parts of the fleet fail. */
class PeerConfigurationTest {
    private suspend fun TestScope.startedFleet(size: Int = 7): TestFleet {
        val fleet = TestFleet(this, size)
        fleet.setOrganisation("first")
        fleet.startAll()
        delay(10.seconds)
        assertEquals(setOf<String?>("first"), fleet.organisations())
        assertTrue(fleet.vms.values.all { it.liveNames() == fleet.names.toSet() })
        return fleet
    }

    @Test
    fun `a change reaches VMs without a connection to the platform through peers`() =
        runTest {
            val fleet = startedFleet()
            fleet.names.take(5).forEach {
                fleet.vms
                    .getValue(it)
                    .storeConnection.disconnected = true
            }
            delay(10.seconds)
            fleet.setOrganisation("second")
            delay(9.seconds)
            assertEquals(setOf<String?>("second"), fleet.organisations())
            assertTrue(fleet.vms.values.none { it.configuration.isolated.value })
        }

    @Test
    fun `a change reaches every VM within three seconds of the watch`() =
        runTest {
            val fleet = startedFleet()
            repeat(5) { round ->
                fleet.setOrganisation("round-$round")
                delay(3.seconds)
                assertEquals(setOf<String?>("round-$round"), fleet.organisations())
            }
        }

    @Test
    fun `a VM restarted while the platform is unavailable loads the newest configuration of its peers`() =
        runTest {
            val fleet = startedFleet()
            fleet.setOrganisation("second")
            delay(6.seconds)
            fleet.store.down = true
            fleet.start("vm-3")
            delay(8.seconds)
            assertEquals("second", fleet.vms.getValue("vm-3").organisation())
        }

    @Test
    fun `a restarted VM does not load an outdated configuration from a peer partitioned with it`() =
        runTest {
            val fleet = startedFleet()
            fleet.partition(setOf("vm-1", "vm-3"))
            listOf("vm-1", "vm-3").forEach {
                fleet.vms
                    .getValue(it)
                    .storeConnection.disconnected = true
            }
            fleet.setOrganisation("second")
            delay(20.seconds)
            assertEquals("first", fleet.vms.getValue("vm-1").organisation())
            fleet.start("vm-3", seeds = listOf("vm-1"), disconnected = true)
            delay(60.seconds)
            assertNull(fleet.vms.getValue("vm-3").organisation())
            fleet.heal()
            delay(20.seconds)
            assertEquals(setOf<String?>("second"), fleet.organisations())
        }

    @Test
    fun `if all VMs restart while the platform is unavailable none is ready until it is available again`() =
        runTest {
            val fleet = startedFleet()
            fleet.store.down = true
            fleet.startAll()
            delay(30.seconds)
            assertEquals(setOf<String?>(null), fleet.organisations())
            fleet.store.down = false
            delay(5.seconds)
            assertEquals(setOf<String?>("first"), fleet.organisations())
        }

    @Test
    fun `only a VM without connections to platform and peers is isolated`() =
        runTest {
            data class Case(
                val platform: Boolean,
                val peers: Boolean,
                val isolated: Boolean,
            )
            listOf(
                Case(platform = false, peers = true, isolated = false),
                Case(platform = true, peers = false, isolated = false),
                Case(platform = false, peers = false, isolated = true),
            ).forEach { case ->
                val fleet = startedFleet()
                val vm = fleet.vms.getValue("vm-2")
                vm.storeConnection.disconnected = !case.platform
                if (!case.peers) fleet.partition(setOf("vm-2"))
                delay(9.seconds)
                assertEquals(false, vm.configuration.isolated.value, "$case: isolated too early")
                delay(11.seconds)
                assertEquals(case.isolated, vm.configuration.isolated.value, "$case")
                delay(60.seconds)
                assertEquals(case.isolated, vm.configuration.isolated.value, "$case after a minute")
                vm.storeConnection.disconnected = false
                fleet.heal()
                delay(8.seconds)
                assertEquals(false, vm.configuration.isolated.value, "$case healed")
                fleet.names.forEach { fleet.stop(it) }
            }
        }

    @Test
    fun `a VM frozen during a change does not continue with the old configuration`() =
        runTest {
            val fleet = startedFleet()
            val vm = fleet.vms.getValue("vm-2")
            vm.dispatcher.frozen = true
            delay(15.seconds)
            fleet.setOrganisation("second")
            delay(15.seconds)
            vm.dispatcher.frozen = false
            delay(2.seconds)
            assertTrue(vm.organisation() == "second" || vm.configuration.isolated.value)
            delay(6.seconds)
            assertEquals("second", vm.organisation())
            assertTrue(fleet.vms.values.all { it.liveNames() == fleet.names.toSet() })
        }

    @Test
    fun `random faults never revert a process to an older version and the fleet converges`() =
        (1..4).forEach { seed -> withRandomFaults(seed) }

    private fun withRandomFaults(seed: Int) =
        runTest {
            val random = Random(seed)
            val fleet = startedFleet()
            val highest = HashMap<TestFleet.Vm, ObjectVersion>()
            fleet.network.maximumDelay = 1_500.milliseconds
            repeat(60) { step ->
                val name = fleet.names.random(random)
                when (random.nextInt(7)) {
                    0 -> fleet.partition(fleet.names.filter { random.nextBoolean() })
                    1 -> fleet.heal()
                    2 -> fleet.store.down = !fleet.store.down
                    3 -> fleet.start(name)
                    4 ->
                        fleet.vms
                            .getValue(name)
                            .dispatcher
                            .let { it.frozen = !it.frozen }
                    5 ->
                        fleet.vms
                            .getValue(name)
                            .storeConnection
                            .let { it.disconnected = !it.disconnected }
                    else -> if (!fleet.store.down) fleet.setOrganisation("step-$step")
                }
                delay(random.nextInt(1, 8).seconds)
                fleet.vms.values.forEach { vm ->
                    val version = vm.version()
                    val before = highest[vm]
                    val grows = before == null || (version != null && version >= before)
                    assertTrue(grows, "seed $seed step $step: $before to $version")
                    if (version != null) highest[vm] = version
                }
            }
            fleet.heal()
            fleet.store.down = false
            fleet.vms.values.forEach {
                it.dispatcher.frozen = false
                it.storeConnection.disconnected = false
            }
            fleet.setOrganisation("last")
            delay(15.seconds)
            assertEquals(setOf<String?>("last"), fleet.organisations(), "seed $seed")
            assertNotNull(fleet.vms["vm-0"])
            delay(20.seconds)
            assertTrue(fleet.vms.values.all { it.liveNames() == fleet.names.toSet() }, "seed $seed")
        }
}
