package io.tarragonport.core.placement

import io.tarragonport.api.id.PoolId

/**
 * Placement decision for one pool, with the values on which it is based.
 *
 * [load] is in units of servers. [present] counts live and pending servers, and [cost] is their cost in units of an
 * ordinary server. [cheapUnavailable] is true if the pool allows cheap servers but none are available.
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
