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

/** Guards against loss of durable work, needless cost and oscillation in placement; all cases use a test clock. */
class PlacementPolicyTest {
    private class Case(
        val name: String,
        val settings: PlacementSettings = PlacementSettings(),
        val script: PlacementScript.() -> Unit,
    )

    private val cases =
        listOf(
            Case("servers for the load are started immediately and spread over the domains") {
                pool()
                load(3)
                expect("start a, start a, start b, start c")
                expect("")
            },
            Case("tokens by throughput determine the count if they need more servers than requests") {
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
            Case("cheap servers are not used if they do not save cost", PlacementSettings(cheapCost = 0.9)) {
                pool(cheap = true)
                load(2)
                expect("start a, start b, start c")
            },
            Case("ordinary servers replace cheap ones while these are unavailable") {
                pool(cheap = true)
                load(2)
                expect("start a+, start b+, start c+", rejected = true)
                expect("start a, start b, start c")
                expect("")
                advance(60.seconds)
                expect("start a+, start b+, start c+")
                expect("")
                advance(120.seconds)
                expect("drain a, drain b, drain c")
            },
            Case("a domain that rejected a start is skipped") {
                pool()
                servers("b c")
                load(2)
                expect("start a", rejected = true)
                expect("start b")
            },
            Case("servers with a reclaim notice are replaced in other domains") {
                pool(cheap = true)
                servers("a+ a+ b+ c+")
                load(3)
                expect("")
                reclaim("a")
                expect("start b+, start c+")
            },
            Case("ordinary servers replace cheap ones that are reclaimed in all domains") {
                pool(cheap = true)
                servers("a+ b+ c+")
                load(2)
                listOf("a", "b", "c").forEach { reclaim(it) }
                expect("start a, start b, start c")
            },
            Case("servers are drained after lasting low load, and stopped after the drain time") {
                pool()
                servers("a a b b c c")
                load(1)
                expect("")
                advance(119.seconds)
                expect("")
                advance(1.seconds)
                expect("drain a, drain b, drain c, drain c")
                expect("")
                advance(29.seconds)
                expect("")
                advance(1.seconds)
                expect("stop a, stop b, stop c, stop c")
                expect("")
            },
            Case("load between the two utilisations causes no orders") {
                pool()
                servers("a a b b c c c")
                load(5)
                expect("")
                advance(600.seconds)
                expect("")
            },
            Case("a returning load restarts the delay, and the smallest surplus is drained") {
                pool()
                servers("a a b b c c")
                load(1)
                expect("")
                advance(60.seconds)
                load(4)
                expect("")
                advance(60.seconds)
                load(1)
                expect("")
                advance(60.seconds)
                load(2)
                expect("")
                advance(60.seconds)
                load(1)
                expect("drain b, drain c")
            },
            Case("the minimum applies without load and the maximum under any load") {
                pool(minimum = 2, maximum = 3)
                expect("start a, start b")
                load(50, durable = 1.0)
                expect("start c")
                load(0)
                advance(1.seconds)
                expect("")
                advance(120.seconds)
                expect("drain c")
            },
            Case("cheap servers at the maximum make room for ordinary ones that durable work needs") {
                pool(maximum = 4, cheap = true)
                servers("a+ a+ b+ c+")
                load(2, durable = 0.5)
                expect("drain a+, drain b+, drain c+, start a, start b, start c")
            },
            Case("model engines start within the weight store's rate", PlacementSettings(transfersPerMinute = 2)) {
                pool()
                load(3)
                expect("start a, start b")
                advance(59.seconds)
                expect("")
                advance(1.seconds)
                expect("start a, start c")
            },
            Case(
                "starts of plain services are not limited by the weight store",
                PlacementSettings(transfersPerMinute = 0),
            ) {
                pool(kind = PoolKind.SERVICE)
                load(1)
                expect("start a, start b")
            },
            Case("the pool with the largest shortage comes first", PlacementSettings(transfersPerMinute = 2)) {
                pool("p")
                pool("q")
                servers("a b c", "p")
                load(3, name = "p")
                load(3, name = "q")
                expect("start a, start b")
                assertEquals("q", decisions.first { it.orders.isNotEmpty() }.pool.value)
            },
            Case("a start that is not in the inventory yet is not repeated, a lost one is") {
                pool()
                load(1)
                expect("start a, start b", notApplied = true)
                advance(59.seconds)
                expect("")
                advance(1.seconds)
                expect("start a, start b")
            },
            Case("a lost drain order is repeated") {
                pool()
                servers("a b")
                expect("")
                advance(120.seconds)
                expect("drain a, drain b", notApplied = true)
                advance(60.seconds)
                expect("")
                advance(120.seconds)
                expect("drain a, drain b")
            },
            Case("a domain without current inventory gets no orders, and other domains no additional ones") {
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
            Case("a configured server counts once unless it is leaving, and is never drained") {
                servers("a b c")
                pool(minimum = 1, static = inventory.take(1).map { it.id.value })
                load(3)
                expect("start a")
                load(0)
                expect("")
                advance(120.seconds)
                expect("drain a, drain b, drain c")
                inventory[0] = inventory[0].copy(state = InventoryServerState.LEAVING, leavesInMs = 5_000)
                expect("start b")
            },
            Case("servers of a drained domain are not stopped early after a change of lease holder") {
                pool()
                servers("a b c")
                load(2)
                applyOrder(
                    PlannedOrder(
                        FailureDomainId("a"),
                        ServerOrderKind.DRAIN,
                        inventory.first().pool,
                        CapacityKind.ORDINARY,
                        inventory.first().id,
                    ),
                )
                expect("start a")
                advance(30.seconds)
                expect("stop a")
            },
            Case("a pool without bounds is not managed") {
                pool(maximum = 0)
                servers("a b c")
                load(50)
                expect("")
                advance(600.seconds)
                expect("")
            },
        )

    @TestFactory
    fun cases(): List<DynamicTest> =
        cases.map {
            DynamicTest.dynamicTest(it.name) { it.script(PlacementScript(it.settings)) }
        }

    @Test
    fun `no random load exceeds the bounds or leaves durable work without servers`() {
        repeat(200) { seed ->
            val random = Random(seed)
            val script = PlacementScript()
            script.pool(minimum = 1, maximum = 30, cheap = random.nextBoolean())
            repeat(50) {
                val running = random.nextInt(12)
                val durable = random.nextInt(5) / 4.0
                script.load(running, durable)
                script.decide().forEach(script::applyOrder)
                val notLeaving = script.inventory.filter { it.state != InventoryServerState.LEAVING }
                val ordinary = notLeaving.filterNot { it.cheap }
                val survivors =
                    ordinary.size - (ordinary.groupBy { it.failureDomain }.values.maxOfOrNull { it.size } ?: 0)
                assertTrue(notLeaving.size in 1..30, "seed $seed: ${notLeaving.size} servers")
                assertTrue(survivors >= running * durable, "seed $seed: $survivors survive for ${running * durable}")
                assertTrue(notLeaving.size >= running, "seed $seed: ${notLeaving.size} servers for $running")
                script.advance(random.nextInt(1, 60).seconds)
            }
        }
    }
}
