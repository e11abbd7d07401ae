package io.tarragonport.daemon.gateway

import io.tarragonport.daemon.gateway.exchange.LogRateLimiter
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** The log volume of a process must not grow with its load. */
class LogRateLimiterTest {
    @Test
    fun `each second has its own limit`() {
        val clock = TestTimeSource()
        val rateLimiter = LogRateLimiter(clock)
        repeat(3) {
            val written = (1..2_000).count { rateLimiter.tryAcquire() }
            assertEquals(LogRateLimiter.LINES_PER_SECOND, written.toLong())
            clock += 1.seconds
        }
    }
}
