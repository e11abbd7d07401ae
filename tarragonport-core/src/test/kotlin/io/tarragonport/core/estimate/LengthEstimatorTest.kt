package io.tarragonport.core.estimate

import io.tarragonport.core.admission.Requests
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.TestTimeSource

/** Guards the estimates and their fallback, and that wrong estimates cause fewer refusals, not more. */
class LengthEstimatorTest {
    private val clock = TestTimeSource()
    private val estimator = LengthEstimator()

    private fun request(
        organisation: String = "o1",
        promptTokens: Int = 100,
    ) = Requests.request("r", clock.markNow(), Requests.review, organisation, promptTokens)

    private fun record(
        tokens: Int,
        organisation: String = "o1",
        promptTokens: Int = 100,
    ) {
        val request = request(organisation, promptTokens)
        estimator.record(request, estimator.estimate(request), tokens)
    }

    /** The larger of two planned lengths, as every 16th estimate plans a single token. */
    private fun regularPlannedLength(): Int =
        maxOf(
            estimator.estimate(request()).planned,
            estimator.estimate(request()).planned,
        )

    @Test
    fun `falls back from the organisation to the class and to a default`() {
        assertEquals(EstimateLevel.DEFAULT, estimator.estimate(request()).level)
        repeat(10) { record(500) }
        assertEquals(EstimateLevel.ORGANISATION_AND_PROMPT, estimator.estimate(request()).level)
        assertEquals(EstimateLevel.CLASS_AND_PROMPT, estimator.estimate(request("o2")).level)
        assertEquals(EstimateLevel.CLASS, estimator.estimate(request("o2", 9_000)).level)
        assertTrue(estimator.estimate(request()).p50 in 440..560)
    }

    @Test
    fun `follows the quantiles of recent responses`() {
        repeat(200) { record(if (it % 5 == 0) 1_000 else 100) }
        val mixed = estimator.estimate(request())
        assertTrue(mixed.p50 in 88..112 && mixed.p90 in 880..1_120, "$mixed")
        repeat(1_500) { record(2_000) }
        assertTrue(estimator.estimate(request()).p50 in 1_760..2_240)
    }

    @Test
    fun `planned lengths decrease when estimates are wrong by a factor of ten`() {
        repeat(50) { record(1_000) }
        val before = regularPlannedLength()
        repeat(6) { record(100) }
        assertTrue(estimator.errorFactor(Requests.review.id) > 2.0)
        assertTrue(regularPlannedLength() < before)
    }

    @Test
    fun `a class without responses or with outdated estimates is not refused forever`() {
        assertEquals(1, estimator.estimate(request()).planned)
        repeat(20) { record(100_000) }
        assertTrue((1..16).any { estimator.estimate(request()).planned == 1 })
    }
}
