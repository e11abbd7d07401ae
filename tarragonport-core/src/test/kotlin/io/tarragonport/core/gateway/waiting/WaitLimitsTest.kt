package io.tarragonport.core.gateway.waiting

import io.tarragonport.core.gateway.Samples
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Guards against a burst of long prompts that leaves shorter, more urgent ones no time, and against starving it. */
class WaitLimitsTest {
    private val chat = route("/chat/", 0, 400.milliseconds)
    private val check = route("/check/", 1, 600.milliseconds)
    private val review = route("/review/", 2, 2_000.milliseconds)
    private val routes = listOf(chat, check, review)

    private class Case(
        val title: String,
        val path: String,
        val priority: Int,
        val waited: Duration,
        val apart: Boolean,
        val limit: Duration,
    )

    private fun route(
        prefix: String,
        priority: Int,
        objective: Duration,
    ) = Samples.route(prefix).copy(priority = priority, latencyObjective = objective)

    @Test
    fun `a request leaves more urgent ones on the same engines half of their objective`() =
        listOf(
            Case("the most urgent", "/chat/", 0, Duration.ZERO, apart = false, limit = 400.milliseconds),
            Case("behind the chats", "/check/", 1, Duration.ZERO, apart = false, limit = 200.milliseconds),
            Case("behind both", "/review/", 2, Duration.ZERO, apart = false, limit = 200.milliseconds),
            Case("chats on other engines", "/review/", 2, Duration.ZERO, apart = true, limit = 300.milliseconds),
            Case("first on its engines", "/check/", 1, Duration.ZERO, apart = true, limit = 600.milliseconds),
            Case("it has waited", "/review/", 2, 900.milliseconds, apart = true, limit = 1_200.milliseconds),
            Case("an urgent organisation", "/review/", 0, Duration.ZERO, apart = false, limit = 2_000.milliseconds),
        ).forEach { case ->
            val route = routes.single { it.pathPrefix == case.path }
            val limit =
                WaitLimits.longestWait(route, case.priority, Samples.ENGINES, case.waited, routes) {
                    !case.apart || it != chat
                }
            assertEquals(case.limit, limit, case.title)
        }
}
