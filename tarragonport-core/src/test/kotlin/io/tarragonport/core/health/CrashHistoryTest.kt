package io.tarragonport.core.health

import io.tarragonport.api.id.BackendServerId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Guards against counting a crash more than once when several VMs or repeated messages report it. */
class CrashHistoryTest {
    private val clock = TestTimeSource()
    private val history = CrashHistory(clock)
    private val s1 = BackendServerId("s1")
    private val s2 = BackendServerId("s2")

    @Test
    fun `one crash that several VMs report many times is counted once`() {
        history.record("f", s1)
        val peer = CrashHistory(clock)
        clock += 1.seconds
        peer.record("f", s1)
        repeat(3) { history.merge(peer.records()) }
        assertTrue(history.isSuspect("f"))
        assertFalse(history.isBlocked("f"))
    }

    @Test
    fun `a fingerprint is blocked after a second crash on the same or another server`() {
        history.record("same", s1)
        history.record("other", s1)
        history.record("other", s2)
        assertTrue(history.isBlocked("other"))
        clock += 20.seconds
        history.record("same", s1)
        assertTrue(history.isBlocked("same"))
    }

    @Test
    fun `fingerprints expire ten minutes after their last crash, also if merged from peers`() {
        history.record("f", s1)
        clock += 9.minutes
        val late = CrashHistory(clock)
        late.merge(history.records())
        assertTrue(late.isSuspect("f"))
        clock += 1.minutes
        assertFalse(late.isSuspect("f"))
        assertEquals(emptyList(), history.records())
    }
}
