package io.tarragonport.tool.bench

/** Medians over all seeds for one scenario, load and policy. */
class BenchSummary(
    val scenario: String,
    val load: Double,
    val policy: String,
    val results: List<BenchResult>,
) {
    val goodput: Double = median { it.goodput }
    val wastedWork: Double = median { it.wastedWork }
    val worstRelativeService: Double = median { it.worstRelativeService }
    val costPerInTimeResponse: Double = median { it.costPerInTimeResponse }
    val cheapWork: Double = median { it.cheapWork }
    val missedAfterReclaim: Double = median { it.missedAfterReclaim }
    val longestGapSeconds: Double = median { result -> result.longestGapSeconds.values.maxOrNull() ?: 0.0 }
    val tierInversions: Double = median { it.tierInversions.toDouble() }
    val classes: List<String> =
        results
            .first()
            .attainment.keys
            .toList()

    fun attainment(classId: String): Double = median { it.attainment[classId] ?: 1.0 }

    private fun median(metric: (BenchResult) -> Double): Double = results.map(metric).sorted()[results.size / 2]

    companion object {
        fun of(results: List<BenchResult>): List<BenchSummary> =
            results
                .groupBy { Triple(it.scenario, it.load, it.policy) }
                .map { (key, runs) -> BenchSummary(key.first, key.second, key.third, runs) }
    }
}
