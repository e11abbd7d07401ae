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
    val worstOrganisation: Double = median { it.worstOrganisation }
    val cost: Double = median { it.cost }
    val cheapWork: Double = median { it.cheapWork }
    val cheapHarm: Double = median { it.cheapHarm }
    val longestGap: Double = median { result -> result.longestGap.values.maxOrNull() ?: 0.0 }
    val tierInversions: Double = median { it.tierInversions.toDouble() }
    val classes: List<String> =
        results
            .first()
            .attainment.keys
            .toList()

    fun attainment(className: String): Double = median { it.attainment[className] ?: 1.0 }

    private fun median(metric: (BenchResult) -> Double): Double = results.map(metric).sorted()[results.size / 2]

    companion object {
        fun of(results: List<BenchResult>): List<BenchSummary> =
            results
                .groupBy { Triple(it.scenario, it.load, it.policy) }
                .map { (key, runs) -> BenchSummary(key.first, key.second, key.third, runs) }
    }
}
