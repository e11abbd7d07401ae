package io.tarragonport.core.health

import io.tarragonport.api.id.BackendServerId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Guards that crashes are counted once each, across VMs and repeated messages. */
class CrashHistoryTest {
    private val clock = TestTimeSource()
    private val ledger = CrashHistory(clock)
    private val s1 = BackendServerId("s1")
    private val s2 = BackendServerId("s2")

    @Test
    fun `one crash that several VMs report many times is counted once`() {
        ledger.record("f", s1)
        val peer = CrashHistory(clock)
        clock += 1.seconds
        peer.record("f", s1)
        repeat(3) { ledger.merge(peer.sightings()) }
        assertTrue(ledger.isSuspect("f"))
        assertFalse(ledger.isHeld("f"))
    }

    @Test
    fun `a second crash on the same or another server holds the request`() {
        ledger.record("same", s1)
        ledger.record("other", s1)
        ledger.record("other", s2)
        assertTrue(ledger.isHeld("other"))
        clock += 20.seconds
        ledger.record("same", s1)
        assertTrue(ledger.isHeld("same"))
    }

    @Test
    fun `fingerprints expire ten minutes after their last crash also through peers`() {
        ledger.record("f", s1)
        clock += 9.minutes
        val late = CrashHistory(clock)
        late.merge(ledger.sightings())
        assertTrue(late.isSuspect("f"))
        clock += 1.minutes
        assertFalse(late.isSuspect("f"))
        assertEquals(emptyList(), ledger.sightings())
    }
}
