package io.tarragonport.standin.platform

import io.tarragonport.api.id.VmId
import io.tarragonport.core.placement.PoolLoad
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Only the current leaseholder may give orders.
 *
 * The tests run in virtual time. Their backend server interface does not check fencing tokens, so the VMs themselves
 * must prevent orders of a previous leaseholder from arriving after those of the next one.
 */
class OrdersUnderFailureTest {
    private class Fleet(
        val links: List<InProcessLink>,
        val vms: List<PlacementTestVm>,
        val random: Random,
    ) {
        fun holder(): InProcessLink = links[vms.indexOfFirst { it.lease.authorize(0.seconds) != null }.coerceAtLeast(0)]
    }

    private class Case(
        val name: String,
        val minimumHolders: Int,
        val failures: suspend Fleet.() -> Unit,
    )

    private val cases =
        listOf(
            Case("no failure", minimumHolders = 1) { delay(2.minutes) },
            Case("the holder is paused and resumed", minimumHolders = 2) {
                repeat(4) {
                    delay(30.seconds)
                    val pausedHolder = holder()
                    pausedHolder.paused.value = true
                    delay(random.nextInt(5, 40).seconds)
                    pausedHolder.paused.value = false
                }
                delay(60.seconds)
            },
            Case("responses to lease renewals are lost", minimumHolders = 1) {
                links.forEach { it.loseAnswerShare = 0.4 }
                delay(4.minutes)
            },
            Case("slow platform", minimumHolders = 1) {
                links.forEach { it.latencyMs = 900 }
                delay(4.minutes)
            },
            Case("platform outages", minimumHolders = 1) {
                repeat(3) {
                    delay(40.seconds)
                    links.forEach { it.unavailable = true }
                    delay(random.nextInt(1, 60).seconds)
                    links.forEach { it.unavailable = false }
                }
                delay(60.seconds)
            },
            Case("pauses, lost responses, slow calls and outages combined", minimumHolders = 2) {
                repeat(12) {
                    val link = if (random.nextBoolean()) holder() else links.random(random)
                    link.loseAnswerShare = 0.3
                    link.latencyMs = 700
                    link.paused.value = random.nextBoolean()
                    link.unavailable = random.nextInt(4) == 0
                    delay(random.nextInt(15, 40).seconds)
                    link.paused.value = false
                    link.unavailable = false
                }
                delay(60.seconds)
            },
        )

    @TestFactory
    fun cases(): List<DynamicTest> =
        cases.flatMap { case ->
            (1..SEEDS).map { seed -> DynamicTest.dynamicTest("${case.name}, seed $seed") { run(case, Random(seed)) } }
        }

    private fun run(
        case: Case,
        random: Random,
    ) = runTest(timeout = 1.minutes) {
        val clock = testScheduler.timeSource
        val objects = ObjectStandIn()
        val inventory = InventoryFile(spares = PlacementTestVm.spares(), startDelayMs = 1_000, checksFencing = false)
        val backend = BackendStandIn(inventory, clock)
        case.failures(fleet(objects, backend, random))
        val orders = backend.received()
        assertEquals(emptyList(), PlacementTestVm.violations(orders))
        assertTrue(orders.size >= MINIMUM_ORDERS, "only ${orders.size} orders")
        val holders = orders.map { it.order.holder }.distinct()
        assertTrue(holders.size >= case.minimumHolders, "orders of $holders")
    }

    private fun TestScope.fleet(
        objects: ObjectStandIn,
        backend: BackendStandIn,
        random: Random,
    ): Fleet {
        val links = List(VMS) { InProcessLink(backgroundScope, random, CALL_TIMEOUT) }
        val vms =
            links.mapIndexed { index, link ->
                PlacementTestVm(
                    name = VmId("vm-$index").value,
                    store = InProcessObjectStore(objects, link),
                    backend = InProcessBackendInterface(backend, link),
                    dispatcher = StandardTestDispatcher(testScheduler),
                    clock = testScheduler.timeSource,
                    demand = { listOf(PoolLoad(PlacementTestVm.POOL, running = changingLoad())) },
                )
            }
        vms.forEach { it.start(backgroundScope) }
        return Fleet(links, vms, random)
    }

    /** Alternating load, so that every leaseholder has orders to give. */
    private fun TestScope.changingLoad(): Int = if (testScheduler.currentTime / 15_000 % 2 == 0L) 6 else 1

    companion object {
        private const val VMS = 3
        private const val SEEDS = 5
        private const val MINIMUM_ORDERS = 10
        private val CALL_TIMEOUT = 2.seconds
    }
}
