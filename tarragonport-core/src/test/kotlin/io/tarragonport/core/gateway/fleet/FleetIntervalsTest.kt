package io.tarragonport.core.gateway.fleet

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Guards against a large fleet that exceeds the store's rate limits, and VMs that miss changes for too long. */
class FleetIntervalsTest {
    private data class Case(
        val liveVms: Int,
        val recordInterval: Duration,
        val watchTimeout: Duration,
    )

    @Test
    fun `intervals grow with the fleet up to a limit`() {
        listOf(
            Case(1, 2.seconds, 2.5.seconds),
            Case(7, 2.seconds, 2.5.seconds),
            Case(12, 2.seconds, 2.5.seconds),
            Case(24, 4.seconds, 2.5.seconds),
            Case(35, 5.seconds, 2.5.seconds),
            Case(70, 5.seconds, 5.seconds),
            Case(410, 5.seconds, 5.seconds),
        ).forEach { case ->
            val intervals = FleetIntervals(case.liveVms)
            assertEquals(case, Case(case.liveVms, intervals.recordInterval, intervals.watchTimeout))
        }
    }

    @Test
    fun `record writes stay below a quarter of the write rate of the deployment`() {
        listOf(7 to 400, 87 to 1_200, 410 to 1_200).forEach { (vms, writesPerSecond) ->
            val records = vms / FleetIntervals(vms).recordInterval.toDouble(DurationUnit.SECONDS)
            assertTrue(records < writesPerSecond / 4, "$vms VMs write $records records a second")
        }
    }
}
