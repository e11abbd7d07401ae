package io.tarragonport.core.health

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Guards the ejection of slow servers, its upper bound, and the readmission by probes. */
class StragglerDetectorTest {
    private val clock = TestTimeSource()
    private val detector = StragglerDetector(clock)
    private val pool = List(10) { ServerHealth() }

    private fun observe(slow: Int) =
        pool.forEachIndexed { index, server ->
            repeat(20) { detector.tokenObserved(server, if (index < slow) 100.0 else 20.0) }
        }

    @Test
    fun `at most three of ten servers are ejected`() {
        val cases = mapOf(0 to 0, 1 to 1, 3 to 3, 4 to 3)
        cases.forEach { (slow, ejected) ->
            pool.forEach { it.ejected = false }
            observe(slow)
            assertEquals(ejected, detector.evaluate(pool) { false }.size, "$slow slow servers")
        }
    }

    @Test
    fun `a server three times slower needs twenty samples to be ejected`() {
        observe(0)
        pool[0].clearSamples()
        repeat(19) { detector.tokenObserved(pool[0], 61.0) }
        assertEquals(emptyList(), detector.evaluate(pool) { false })
        detector.tokenObserved(pool[0], 61.0)
        assertEquals(listOf(pool[0]), detector.evaluate(pool) { false })
    }

    @Test
    fun `a silent server is ejected only if it runs requests`() {
        observe(0)
        clock += 4.seconds
        assertEquals(listOf(pool[2]), detector.evaluate(pool) { it === pool[2] })
    }

    @Test
    fun `probes wait for an increasing backoff and a fast probe readmits the server`() {
        observe(1)
        detector.evaluate(pool) { false }
        assertFalse(detector.mayProbe(pool[0], resumable = true))
        clock += 5.seconds
        assertTrue(detector.mayProbe(pool[0], resumable = true))
        assertFalse(detector.mayProbe(pool[0], resumable = false))
        detector.started(pool[0], idleBefore = true)
        assertFalse(detector.mayProbe(pool[0], resumable = true))
        repeat(20) { detector.tokenObserved(pool[0], 100.0) }
        detector.probeEnded(pool[0], pool, succeeded = true)
        assertEquals(10.seconds, detector.remainingBackoff(pool[0]))
        clock += 10.seconds
        detector.started(pool[0], idleBefore = true)
        repeat(20) { detector.tokenObserved(pool[0], 20.0) }
        detector.probeEnded(pool[0], pool, succeeded = true)
        assertFalse(pool[0].ejected)
    }
}
