package io.tarragonport.tool.bench

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against runs that are not reproducible and against metrics that deviate from their definitions. */
class PolicyBenchTest {
    @TestFactory
    fun `two runs with the same options give the same result`() =
        BenchPolicy.entries.map { policy ->
            DynamicTest.dynamicTest(policy.label) {
                val options = BenchOptions(Scenario.STRAGGLERS, policy, Deployment.ORAHOVICA, load = 1.0)
                assertEquals(BenchRun(options).run(), BenchRun(options).run())
            }
        }

    /** The run itself fails if a policy starts a request twice or refuses one that is not queued. */
    @TestFactory
    fun `no scenario has tier inversions or an attainment outside 0 to 1`() =
        Scenario.entries.map { scenario ->
            DynamicTest.dynamicTest(scenario.label) {
                val options = BenchOptions(scenario, BenchPolicy.TARRAGONPORT, Deployment.ORAHOVICA, load = 1.5)
                val result = BenchRun(options).run()
                assertEquals(0, result.tierInversions)
                assertTrue(result.attainment.values.all { it in 0.0..1.0 })
            }
        }

    @Test
    fun `worst relative service is relative to the max-min share and not to the demand`() {
        val demand = mapOf("large" to 90.0, "small" to 10.0)
        assertEquals(mapOf("large" to 50.0, "small" to 10.0), FairShares.maxMin(demand, 60.0))
        assertEquals(1.0, FairShares.worstRelativeService(demand, mapOf("large" to 50.0, "small" to 10.0)), 1e-9)
        val smallUnderserved = FairShares.worstRelativeService(demand, mapOf("large" to 53.5, "small" to 5.0))
        assertEquals(0.5 / ((0.5 + 53.5 / 48.5) / 2), smallUnderserved, 1e-9)
    }

    @Test
    fun `a gap continues after a refusal until the next service`() {
        val gap = ServiceGap()
        gap.arrived(0.0)
        gap.failed()
        gap.arrived(30.0)
        gap.served(40.0)
        gap.completed(41.0)
        gap.recordGap(100.0)
        assertEquals(40.0, gap.longest)
    }
}
