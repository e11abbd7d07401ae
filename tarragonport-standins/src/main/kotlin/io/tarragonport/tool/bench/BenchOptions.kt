package io.tarragonport.tool.bench

/**
 * Parameters of one run.
 *
 * [load] is the offered load as a multiple of the pool's capacity. [cheapShare] is the share of the pool's servers that
 * are cheap and can be reclaimed. [estimateScale] is the factor applied to the estimated output lengths.
 */
data class BenchOptions(
    val scenario: Scenario,
    val policy: BenchPolicy,
    val deployment: Deployment = Deployment.CHIMENEAS,
    val load: Double = 1.0,
    val seed: Long = 1,
    val cheapShare: Double = DEFAULT_CHEAP_SHARE,
    val estimateScale: Double = 1.0,
) {
    companion object {
        /** Share of the pool that placement puts on cheap servers while they are available. */
        const val DEFAULT_CHEAP_SHARE = 0.4
    }
}
