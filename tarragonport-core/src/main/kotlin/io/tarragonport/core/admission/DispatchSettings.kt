package io.tarragonport.core.admission

/**
 * Limits of [TieredDispatch]: at most [queueBound] requests wait for one pool, and a VM uses about [subsetSize] servers
 * of a larger pool.
 */
data class DispatchSettings(
    val queueBound: Int = 200,
    val subsetSize: Int = 64,
)
