package io.tarragonport.core.gateway.fleet

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** A large fleet must stay within the store's rates, and no VM may be deaf for longer than the rules allow. */
class FleetIntervalsTest {
    private data class Case(
        val liveVms: Int,
        val recordInterval: Duration,
        val watchWait: Duration,
    )

    @Test
    fun `times stretch with the fleet up to a bound`() {
        listOf(
            Case(1, 2.seconds, 2.5.seconds),
            Case(7, 2.seconds, 2.5.seconds),
            Case(35, 2.seconds, 2.5.seconds),
            Case(70, 4.seconds, 5.seconds),
            Case(410, 5.seconds, 5.seconds),
        ).forEach { case ->
            val intervals = FleetIntervals(case.liveVms)
            assertEquals(case, Case(case.liveVms, intervals.recordInterval, intervals.watchWait))
        }
    }

    @Test
    fun `records stay within a quarter of the writes that a deployment of their size allows`() {
        listOf(7 to 400, 87 to 1_200, 410 to 1_200).forEach { (vms, writesPerSecond) ->
            val records = vms / FleetIntervals(vms).recordInterval.toDouble(DurationUnit.SECONDS)
            assertTrue(records < writesPerSecond / 4, "$vms VMs write $records records a second")
        }
    }
}
