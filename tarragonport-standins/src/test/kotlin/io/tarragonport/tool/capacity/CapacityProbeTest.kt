package io.tarragonport.tool.capacity

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against an incorrect fit, an exceeded limit that is not reported, and a simulated fleet that splits into
 * groups of VMs that do not know each other.
 */
class CapacityProbeTest {
    private fun linearSeries(
        slope: Double,
        bound: Double?,
    ) = Series("m", "bytes", "VMs", listOf(1, 2, 4).map { Measurement(it, 10 + slope * it) }, 10, bound)

    @Test
    fun `the fit predicts the value at the design size and compares it with the bound`() {
        val slope = 2.0
        listOf(31.0 to true, 29.0 to false, null to null).forEach { (bound, expected) ->
            val series = linearSeries(slope, bound)
            assertEquals(slope, series.slope, 1e-9)
            assertEquals(30.0, series.atDesignSize ?: 0.0, 1e-9)
            assertEquals(expected, series.withinBound)
            assertEquals(expected == false, "ABOVE" in ProbeReport.text(listOf(series)))
            assertTrue("\"withinBound\": $expected" in ProbeReport.json(listOf(series)))
        }
    }

    @Test
    fun `a simulated fleet keeps all members after restarts, disseminates changes in time and sends small probes`() {
        listOf(7, 50).forEach { size ->
            val fleet = SimulatedFleet(size, seed = 3)
            repeat(4) {
                fleet.reportDemand()
                fleet.restartOne()
                fleet.run(5.seconds)
            }
            assertEquals(size - 1, fleet.liveMembers)
            val propagation = fleet.measureDissemination(30.seconds)
            assertTrue(propagation <= 10.seconds, "$size VMs: $propagation")
            assertTrue(fleet.largestProbe <= 1_200, "$size VMs: ${fleet.largestProbe} bytes")
        }
    }
}
