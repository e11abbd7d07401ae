package io.tarragonport.core.placement

import kotlin.time.ComparableTimeMark

/**
 * Uninterrupted surplus of servers over the number needed at [PlacementSettings.scaleDownUtilisation].
 *
 * It began at [since]; [minimum] is its smallest value until now.
 */
internal data class Surplus(
    val since: ComparableTimeMark,
    val minimum: Int,
)
