package io.tarragonport.core.lease

import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.id.VmId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Guards against a lease whose holder can send no call because its permit is always too short when one is due. */
class LeaseSettingsTest {
    private class Case(
        val lease: Duration,
        val writeTime: Duration,
    )

    @Test
    fun `a holder can send its longest call whenever one is due`() {
        listOf(
            Case(2.seconds, 10.milliseconds),
            Case(2.seconds, 200.milliseconds),
            Case(6.seconds, 10.milliseconds),
            Case(6.seconds, 1_500.milliseconds),
        ).forEach { case ->
            val settings = LeaseSettings.forCalls(case.lease, MARGIN, LONGEST_CALL, RETRY_INTERVAL)
            assertEquals(0.milliseconds, timeWithoutPermit(settings, case.writeTime), "${case.lease} ${case.writeTime}")
        }
    }

    /** The time, over one minute after the lease was acquired, in which the permit covers no call of [LONGEST_CALL]. */
    private fun timeWithoutPermit(
        settings: LeaseSettings,
        writeTime: Duration,
    ): Duration {
        val clock = TestTimeSource()
        val machine = LeaseStateMachine(LeaseOwner(VmId("vm"), Incarnation(1)), settings, clock)
        var version = 0L
        var writeEnds: Duration? = null
        var without = Duration.ZERO
        val start = clock.markNow()
        while (start.elapsedNow() < settings.takeoverDelay + 1.minutes) {
            val now = start.elapsedNow()
            if (writeEnds != null && now >= writeEnds) {
                writeEnds = null
                machine.onWritten(ObjectVersion(++version))
            }
            if (writeEnds == null) {
                when (machine.next(eligible = true)) {
                    is LeaseAction.Write -> writeEnds = now + writeTime
                    LeaseAction.Read -> machine.onRead(null, null)
                    else -> Unit
                }
            }
            val usable = machine.permit?.covers(clock.markNow(), LONGEST_CALL) == true
            if (now > settings.takeoverDelay + 2.seconds && !usable) without += STEP
            clock += STEP
        }
        return without
    }

    private companion object {
        val MARGIN = 500.milliseconds
        val LONGEST_CALL = 1.seconds
        val RETRY_INTERVAL = 400.milliseconds
        val STEP = 10.milliseconds
    }
}
