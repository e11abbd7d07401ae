package io.tarragonport.core.placement

import io.tarragonport.api.id.PoolId

/**
 * Demand for one pool in a region.
 *
 * [tokensPerSecond] counts generated tokens. [durableShare] is the share of the load that must survive the loss of a
 * failure domain: requests of classes that can be neither resumed nor repeated.
 */
data class PoolLoad(
    val pool: PoolId,
    val arrivalsPerSecond: Double = 0.0,
    val tokensPerSecond: Double = 0.0,
    val queueLength: Int = 0,
    val running: Int = 0,
    val durableShare: Double = 1.0,
)
