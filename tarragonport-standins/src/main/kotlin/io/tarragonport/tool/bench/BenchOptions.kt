package io.tarragonport.tool.bench

/**
 * Parameters of one run: [load] is a multiple of the capacity of the pool, [cheapShare] the share of servers that are
 * cheap, and [estimateScale] multiplies the router's estimates of output lengths (1 leaves them unchanged).
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
