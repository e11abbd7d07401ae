package io.tarragonport.core.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of placement.
 *
 * Servers are started for a utilisation of [targetUtilisation] and stopped after [scaleDownAfter] below
 * [scaleDownUtilisation]. A started server that is not in the inventory counts as pending for [pendingLimit], which
 * covers the inventory's delay. A kind of server that was unavailable in a domain is not ordered there again for
 * [unavailableBackoff], and after a reclaim for [reclaimBackoff]. Cheap servers are used while [cheapCost] × (1 +
 * [cheapOverhead]) is below 1, the cost of an ordinary server; the overhead is the work repeated after reclaims.
 * [transfersPerMinute] is the rate limit of the weight store, from which a started model engine loads its weights.
 */
data class PlacementSettings(
    val targetUtilisation: Double = 0.75,
    val scaleDownUtilisation: Double = 0.6,
    val scaleDownAfter: Duration = 120.seconds,
    val pendingLimit: Duration = 60.seconds,
    val unavailableBackoff: Duration = 60.seconds,
    val reclaimBackoff: Duration = 5.minutes,
    val cheapCost: Double = 0.3,
    val cheapOverhead: Double = 0.2,
    val transfersPerMinute: Int = 60,
) {
    val cheapIsWorthwhile: Boolean get() = cheapCost * (1 + cheapOverhead) < 1.0
}
