package io.tarragonport.core.gateway.pace

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Guards against a server that has just started or recovered being flooded by all VMs, or left idle by them. */
class ServerPaceTest {
    private val clock = TestTimeSource()

    private fun pace(
        rank: Int = 0,
        vms: Int = 1,
        slots: Int = 64,
    ) = ServerPace(slots) { FleetTurn(rank, vms) }

    @Test
    fun `VMs begin to use a server that starts one after the other`() {
        class Case(
            val vms: Int,
            val slots: Int,
            val after: Duration,
            val begun: Int,
        )
        listOf(
            Case(vms = 7, slots = 64, after = Duration.ZERO, begun = 7),
            Case(vms = 68, slots = 64, after = Duration.ZERO, begun = 16),
            Case(vms = 68, slots = 64, after = 100.milliseconds, begun = 32),
            Case(vms = 68, slots = 64, after = 200.milliseconds, begun = 64),
            Case(vms = 68, slots = 64, after = 300.milliseconds, begun = 68),
            Case(vms = 68, slots = 6, after = Duration.ZERO, begun = 1),
            Case(vms = 410, slots = 16, after = 1.seconds, begun = 410),
        ).forEach { case ->
            val start = clock.markNow()
            val begun =
                (0 until case.vms).count { rank ->
                    pace(rank, case.vms, case.slots).also { it.starts(start) }.allows(0, start + case.after)
                }
            assertEquals(case.begun, begun, "${case.vms} VMs, ${case.slots} slots, after ${case.after}")
        }
    }

    @Test
    fun `a server that starts gets as much as it responds to in time`() {
        val pace = pace(vms = 4)
        pace.starts(clock.markNow())
        assertTrue(pace.allows(0, clock.markNow()))
        assertFalse(pace.allows(1, clock.markNow()))
        val limits = (1..16).map { pace.inTime(50.milliseconds) }
        assertEquals(listOf(true), limits.filter { it }, "the limit ends once")
        assertTrue(pace.allows(100, clock.markNow()))
    }

    @Test
    fun `refusals that arrive together halve the limit once`() {
        val pace = pace(vms = 4)
        assertTrue(pace.late(8, clock.markNow()))
        repeat(7) { assertFalse(pace.late(8, clock.markNow())) }
        assertEquals(4.0, pace.limit)
        clock += 1.seconds
        pace.late(4, clock.markNow())
        assertEquals(2.0, pace.limit)
    }

    @Test
    fun `a server that stays slow keeps some work and regains the rest`() {
        val pace = pace(vms = 68)
        var sent = 0
        repeat(10_000) {
            if (pace.allows(0, clock.markNow())) {
                sent++
                pace.sent(clock.markNow())
                pace.late(1, clock.markNow())
            }
            clock += 1.milliseconds
        }
        assertTrue(sent in 8..20, "$sent requests in ten seconds")
        repeat(5) { pace.inTime(50.milliseconds) }
        assertEquals(null, pace.limit)
    }

    @Test
    fun `a server that turns cold is left to the VMs whose turn it is until it is warm`() {
        val last = pace(rank = 67, vms = 68)
        val now = clock.markNow()
        last.cold(5.0, now, now + 2.seconds)
        assertFalse(last.allows(0, now + 1.9.seconds))
        assertTrue(last.allows(0, now + 2.1.seconds))
        val first = pace(rank = 0, vms = 68)
        first.cold(5.0, now, now + 2.seconds)
        assertTrue(first.allows(0, now))
    }
}
