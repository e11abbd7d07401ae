package io.tarragonport.core.gateway.waiting

import io.tarragonport.core.gateway.Samples
import io.tarragonport.core.gateway.balance.PromptProfile
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

/** Guards against limits that stay as they were before the prompts of the other routes were known. */
class LongestWaitsTest {
    private val clock = TestTimeSource()
    private val prompts = PromptProfile()
    private val limits = LongestWaits(clock, prompts)
    private val chat = Samples.route("/chat/").copy(priority = 0, latencyObjective = 400.milliseconds)
    private val check = Samples.route("/check/").copy(priority = 1, latencyObjective = 600.milliseconds)

    private fun limit(waited: Duration = Duration.ZERO) =
        limits.of(check, check.priority, Samples.ENGINES, waited, listOf(chat, check))

    @Test
    fun `a route whose urgent neighbours turn out to use other engines gets its own objective`() {
        prompts.add(Samples.ENGINES, check.name, 9_000)
        assertEquals(200.milliseconds, limit(), "no chat was seen yet")
        prompts.add(Samples.ENGINES, chat.name, 1_000)
        clock += LongestWaits.LIFETIME * 2
        assertEquals(600.milliseconds, limit())
        assertEquals(900.milliseconds, limit(waited = 300.milliseconds))
    }

    @Test
    fun `changed routes count at once`() {
        assertEquals(200.milliseconds, limit())
        limits.clear()
        val slower = chat.copy(latencyObjective = 500.milliseconds)
        val routes = listOf(slower, check)
        assertEquals(250.milliseconds, limits.of(check, check.priority, Samples.ENGINES, Duration.ZERO, routes))
    }
}
