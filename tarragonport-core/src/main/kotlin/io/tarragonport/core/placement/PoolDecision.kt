package io.tarragonport.core.placement

import io.tarragonport.api.id.PoolId

/**
 * What was decided for one pool and why.
 *
 * [load] is in servers, [present] counts servers that are live or coming, [cost] is that of [present] with an ordinary
 * server as 1. [cheapUnavailable] is true if cheap servers would be used but cannot be had.
 */
data class PoolDecision(
    val pool: PoolId,
    val load: Double,
    val wanted: WantedServers,
    val present: WantedServers,
    val cost: Double,
    val cheapUnavailable: Boolean,
    val orders: List<PlannedOrder>,
)
