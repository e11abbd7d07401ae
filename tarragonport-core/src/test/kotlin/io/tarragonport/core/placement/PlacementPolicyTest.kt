package io.tarragonport.core.placement

import io.tarragonport.api.configuration.PoolKind
import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.platform.InventoryServerState
import io.tarragonport.api.platform.ServerOrderKind
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Guards against harm to durable work, needless cost and oscillation in placement; every case is on a paused clock. */
class PlacementPolicyTest {
    private class Case(
        val name: String,
        val settings: PlacementSettings = PlacementSettings(),
        val script: PlacementScript.() -> Unit,
    )

    private val cases =
        listOf(
            Case("servers for the load are started at once and spread") {
                pool()
                load(3)
                expect("start a, start a, start b, start c")
                expect("")
            },
            Case("tokens against throughput count if they need more servers than requests") {
                pool(tokensPerSecond = 100.0)
                load(1, tokens = 300.0)
                expect("start a, start a, start b, start c")
            },
            Case("durable work fits on ordinary servers after the loss of a domain") {
                pool(cheap = true)
                load(3, durable = 1.0)
                expect("start a, start a, start b, start b, start c, start c")
            },
            Case("resumable work goes to cheap servers, durable work does not") {
                pool(cheap = true)
                load(6, durable = 0.25)
                expect("start a, start a+, start a+, start b, start b+, start b+, start c, start c+")
            },
            Case("cheap servers stay unused if they do not pay", PlacementSettings(cheapCost = 0.9)) {
                pool(cheap = true)
                load(2)
                expect("start a, start b, start c")
            },
            Case("ordinary servers replace cheap ones that cannot be had, until they can be had again") {
                pool(cheap = true)
                load(2)
                expect("start a+, start b+, start c+", rejected = true)
                expect("start a, start b, start c")
                expect("")
                pass(60.seconds)
                expect("start a+, start b+, start c+")
                expect("")
                pass(120.seconds)
                expect("drain a, drain b, drain c")
            },
            Case("a rejected domain is left out") {
                pool()
                servers("b c")
                load(2)
                expect("start a", rejected = true)
                expect("start b")
            },
            Case("servers with a reclaim notice are replaced elsewhere") {
                pool(cheap = true)
                servers("a+ a+ b+ c+")
                load(3)
                expect("")
                reclaim("a")
                expect("start b+, start c+")
            },
            Case("ordinary servers replace a reclaim of all domains") {
                pool(cheap = true)
                servers("a+ b+ c+")
                load(2)
                listOf("a", "b", "c").forEach { reclaim(it) }
                expect("start a, start b, start c")
            },
            Case("low load has to last before servers are drained, and then stopped after the drain time") {
                pool()
                servers("a a b b c c")
                load(1)
                expect("")
                pass(119.seconds)
                expect("")
                pass(1.seconds)
                expect("drain a, drain b, drain c, drain c")
                expect("")
                pass(29.seconds)
                expect("")
                pass(1.seconds)
                expect("stop a, stop b, stop c, stop c")
                expect("")
            },
            Case("load between the two utilisations changes nothing") {
                pool()
                servers("a a b b c c c")
                load(5)
                expect("")
                pass(600.seconds)
                expect("")
            },
            Case("a load that returns restarts the wait, and the least surplus counts") {
                pool()
                servers("a a b b c c")
                load(1)
                expect("")
                pass(60.seconds)
                load(4)
                expect("")
                pass(60.seconds)
                load(1)
                expect("")
                pass(60.seconds)
                load(2)
                expect("")
                pass(60.seconds)
                load(1)
                expect("drain b, drain c")
            },
            Case("bounds hold: the minimum without load, the maximum with any") {
                pool(minimum = 2, maximum = 3)
                expect("start a, start b")
                load(50, durable = 1.0)
                expect("start c")
                load(0)
                pass(1.seconds)
                expect("")
                pass(120.seconds)
                expect("drain c")
            },
            Case("cheap servers at the maximum make room for ordinary ones that durable work needs") {
                pool(maximum = 4, cheap = true)
                servers("a+ a+ b+ c+")
                load(2, durable = 0.5)
                expect("drain a+, drain b+, drain c+, start a, start b, start c")
            },
            Case("model servers start within the weight store's rate", PlacementSettings(transfersPerMinute = 2)) {
                pool()
                load(3)
                expect("start a, start b")
                pass(59.seconds)
                expect("")
                pass(1.seconds)
                expect("start a, start c")
            },
            Case("plain services need no weights", PlacementSettings(transfersPerMinute = 0)) {
                pool(kind = PoolKind.SERVICE)
                load(1)
                expect("start a, start b")
            },
            Case("the pool that lacks most comes first", PlacementSettings(transfersPerMinute = 2)) {
                pool("p")
                pool("q")
                servers("a b c", "p")
                load(3, name = "p")
                load(3, name = "q")
                expect("start a, start b")
                assertEquals("q", decisions.first { it.orders.isNotEmpty() }.pool.value)
            },
            Case("a start that the inventory does not show yet is not repeated, one that got lost is") {
                pool()
                load(1)
                expect("start a, start b", unseen = true)
                pass(59.seconds)
                expect("")
                pass(1.seconds)
                expect("start a, start b")
            },
            Case("a drain that got lost is repeated") {
                pool()
                servers("a b")
                expect("")
                pass(120.seconds)
                expect("drain a, drain b", unseen = true)
                pass(60.seconds)
                expect("")
                pass(120.seconds)
                expect("drain a, drain b")
            },
            Case("a domain whose inventory is not current gets no orders and no other one too many") {
                pool()
                servers("a a a")
                currentDomains = setOf(FailureDomainId("a"))
                load(2, durable = 1.0)
                expect("start a, start a")
                expect("")
            },
            Case("ordinary servers that are all in one domain are spread") {
                pool()
                servers("a a a a a a")
                load(3, durable = 1.0)
                expect("start b, start b, start c, start c")
            },
            Case("a server that operators list counts once and is never drained, but not while it leaves") {
                servers("a b c")
                pool(minimum = 1, static = inventory.take(1).map { it.id.value })
                load(3)
                expect("start a")
                load(0)
                expect("")
                pass(120.seconds)
                expect("drain a, drain b, drain c")
                inventory[0] = inventory[0].copy(state = InventoryServerState.LEAVING, leavesInMs = 5_000)
                expect("start b")
            },
            Case("servers of a drained domain are not stopped before their time after a change of holder") {
                pool()
                servers("a b c")
                load(2)
                carryOut(
                    PlannedOrder(
                        FailureDomainId("a"),
                        ServerOrderKind.DRAIN,
                        inventory.first().pool,
                        CapacityKind.ORDINARY,
                        inventory.first().id,
                    ),
                )
                expect("start a")
                pass(30.seconds)
                expect("stop a")
            },
            Case("a pool without bounds is left alone") {
                pool(maximum = 0)
                servers("a b c")
                load(50)
                expect("")
                pass(600.seconds)
                expect("")
            },
        )

    @TestFactory
    fun cases(): List<DynamicTest> =
        cases.map {
            DynamicTest.dynamicTest(it.name) { it.script(PlacementScript(it.settings)) }
        }

    /** Guards the bounds and the survival of durable work under any load. */
    @Test
    fun `random loads`() {
        repeat(200) { seed ->
            val random = Random(seed)
            val script = PlacementScript()
            script.pool(minimum = 1, maximum = 30, cheap = random.nextBoolean())
            repeat(50) {
                val running = random.nextInt(12)
                val durable = random.nextInt(5) / 4.0
                script.load(running, durable)
                script.decide().forEach(script::carryOut)
                val kept = script.inventory.filter { it.state != InventoryServerState.LEAVING }
                val ordinary = kept.filterNot { it.cheap }
                val survivors =
                    ordinary.size - (ordinary.groupBy { it.failureDomain }.values.maxOfOrNull { it.size } ?: 0)
                assertTrue(kept.size in 1..30, "seed $seed: ${kept.size} servers")
                assertTrue(survivors >= running * durable, "seed $seed: $survivors survive for ${running * durable}")
                assertTrue(kept.size >= running, "seed $seed: ${kept.size} servers for $running")
                script.pass(random.nextInt(1, 60).seconds)
            }
        }
    }
}
