package io.tarragonport.core.gateway.scaling

import io.tarragonport.api.gateway.ScalingLimits
import io.tarragonport.api.id.FailureDomainId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Guards against too few servers during bursts of long prompts while cheap servers are reclaimed and unavailable. */
class ServerPlanTest {
    private val clock = TestTimeSource()
    private val domains = listOf("a", "b", "c").map(::FailureDomainId)
    private val prices = mapOf(domains[0] to 1.0, domains[1] to 0.8, domains[2] to 1.25)

    private fun plan(
        cheapPrice: Double? = 0.2,
        minimum: Int = 1,
        maximum: Int = 8,
    ) = ServerPlan(ScalingLimits(minimum, maximum, 4.seconds, cheapPrice, prices), BASELINE, clock)

    private fun serving(
        ordinary: Int,
        cheap: Int,
    ) = domains.map { DomainServers(it, ordinary, cheap) }

    @Test
    fun `without load the baseline remains after the loss of one domain`() {
        val wanted = plan().wanted(0, serving(4, 0))
        val ordinary = wanted.values.sumOf { it.ordinary }
        val cheap = wanted.values.sumOf { it.cheap }
        assertTrue(ordinary in 4..BASELINE / 2, "$wanted")
        assertTrue(ordinary + cheap - wanted.values.maxOf { it.cheap } >= BASELINE, "$wanted")
        assertEquals(wanted.values.maxOf { it.ordinary }, wanted.getValue(domains[1]).ordinary, "$wanted")
    }

    @Test
    fun `losing cheap servers never lowers the wanted counts`() {
        val plan = plan()
        val before = plan.wanted(10, serving(2, 4))
        clock += 2.seconds
        val after = plan.wanted(10, listOf(DomainServers(domains[0], 2, 4)) + serving(2, 0).drop(1))
        domains.forEach { domain ->
            assertTrue(after.getValue(domain).cheap >= before.getValue(domain).cheap, "$before $after")
            assertTrue(after.getValue(domain).ordinary >= before.getValue(domain).ordinary, "$before $after")
        }
    }

    @Test
    fun `ordinary servers are added when too few servers serve the load`() {
        val withCheap = plan().wanted(12, serving(2, 4)).values.sumOf { it.ordinary }
        val withoutCheap = plan().wanted(12, serving(2, 0)).values.sumOf { it.ordinary }
        assertTrue(withoutCheap > withCheap, "$withCheap $withoutCheap")
        assertEquals(12, withoutCheap)
    }

    @Test
    fun `counts shrink only after they were too large for a while`() {
        val plan = plan()
        val burst = plan.wanted(20, serving(2, 4))
        clock += ServerPlan.SCALE_DOWN_DELAY / 2
        assertEquals(burst, plan.wanted(0, serving(2, 6)))
        clock += ServerPlan.SCALE_DOWN_DELAY
        val later = plan.wanted(0, serving(2, 6))
        assertTrue(later.values.sumOf { it.ordinary + it.cheap } < burst.values.sumOf { it.ordinary + it.cheap })
    }

    @Test
    fun `the limits of a domain are respected`() {
        listOf(
            plan(maximum = 3) to 3,
            plan(minimum = 6, maximum = 8) to 8,
            plan(cheapPrice = null) to 8,
        ).forEach { (plan, most) ->
            plan.wanted(40, serving(1, 1)).forEach { (domain, counts) ->
                assertTrue(counts.ordinary + counts.cheap <= most, "$domain $counts")
            }
        }
        plan(minimum = 7, maximum = 8).wanted(0, serving(1, 1)).forEach { (domain, counts) ->
            assertTrue(counts.ordinary + counts.cheap >= 7, "$domain $counts")
        }
        assertTrue(plan(cheapPrice = null).wanted(9, serving(3, 0)).values.all { it.cheap == 0 })
    }

    private companion object {
        const val BASELINE = 13
    }
}
