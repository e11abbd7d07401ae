package io.tarragonport.core.routing

import io.tarragonport.api.backend.CacheEvent
import io.tarragonport.api.backend.LoadReport
import io.tarragonport.api.id.BackendServerId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards the estimates of load and cache contents against late and missing reports. */
class ServerLoadAndCacheTest {
    private val second = 1_000_000_000L

    private fun report(
        ageMs: Long,
        running: Int,
    ) = LoadReport(BackendServerId("s1"), ageMs, running, 0)

    @Test
    fun `a late report is corrected by own sends made after it`() {
        val load = ServerLoadEstimate()
        load.started(1 * second)
        load.started(3 * second)
        load.started(4 * second)
        load.ended(4 * second + 1)
        load.report(report(ageMs = 3_000, running = 5), now = 5 * second)
        assertEquals(6.0, load.estimate(5 * second, poolMean = 5.0, serviceSeconds = 3.0, peers = 0.0))
        load.report(report(ageMs = 4_500, running = 0), now = 5 * second)
        assertEquals(6.0, load.estimate(5 * second, 5.0, 3.0, 0.0), "an older report must not replace a newer one")
        assertTrue(load.estimate(5 * second, 5.0, 3.0, peers = 6.0) > 7.0, "peers decide by the same report")
    }

    @Test
    fun `an old report decays towards the mean of the pool and servers keep their order`() {
        val idle = ServerLoadEstimate().apply { report(report(ageMs = 4_000, running = 0), now = 4 * second) }
        val busy = ServerLoadEstimate().apply { report(report(ageMs = 4_000, running = 8), now = 4 * second) }
        val estimates = listOf(idle, busy).map { it.estimate(4 * second, 4.0, 3.0, 0.0) }
        assertTrue(estimates[0] in 2.0..4.0 && estimates[1] in 4.0..6.0, "$estimates")
    }

    @Test
    fun `blocks added before a gap count half until they are confirmed`() {
        val cache = ServerCache()
        cache.apply(listOf(CacheEvent(1, "a", true), CacheEvent(2, "b", true)))
        assertEquals(1.0, cache.hitShare(listOf("a", "b")))
        cache.apply(listOf(CacheEvent(4, "c", true)))
        assertEquals(0.5, cache.hitShare(listOf("a", "b")))
        cache.sent(listOf("a"))
        assertEquals(0.75, cache.hitShare(listOf("a", "b")))
        cache.apply(listOf(CacheEvent(5, "a", false), CacheEvent(5, "a", true)))
        assertEquals(0.0, cache.hitShare(listOf("a", "b")))
    }
}
