package io.tarragonport.daemon.gateway

import io.tarragonport.daemon.gateway.exchange.LineBudget
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** The log of a process under load must not grow with the load. */
class LineBudgetTest {
    @Test
    fun `each second has its own bound`() {
        val clock = TestTimeSource()
        val budget = LineBudget(clock)
        repeat(3) {
            val written = (1..2_000).count { budget.tryTake() }
            assertEquals(LineBudget.LINES_PER_SECOND, written.toLong())
            clock += 1.seconds
        }
    }
}
