package io.tarragonport.core.routing

import io.tarragonport.api.id.BackendServerId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against polls above the budget, stale reports of servers in use, and servers that are never polled. */
class LoadPollPlanTest {
    private fun servers(count: Int) = (1..count).map { BackendServerId("s$it") }

    @Test
    fun `every server of a small subset is polled in each round`() {
        val plan = LoadPollPlan()
        repeat(3) { assertEquals(servers(24), plan.next(servers(24), setOf(BackendServerId("s3")))) }
    }

    @Test
    fun `a large subset is polled within the budget, preferred servers first, and completely`() {
        for ((size, busy) in listOf(25 to 0, 64 to 3, 64 to 6, 64 to 40, 64 to 64, 1_152 to 200)) {
            val plan = LoadPollPlan()
            val all = servers(size)
            val preferred = all.take(busy).toSet()
            val rounds = size / 2 + 1
            val polled = List(rounds) { plan.next(all, preferred) }
            assertTrue(polled.all { it.size == LoadPollPlan.LARGE_SUBSET_POLLS && it.distinct() == it })
            assertEquals(all.toSet(), polled.flatten().toSet(), "servers polled of $size with $busy in use")
            val minimumPreferred = minOf(busy, LoadPollPlan.LARGE_SUBSET_POLLS - LoadPollPlan.RESERVED_POLLS)
            assertTrue(
                polled.all { round ->
                    round.count { it in preferred } >= minimumPreferred
                },
                "servers in use are polled first",
            )
        }
    }
}
