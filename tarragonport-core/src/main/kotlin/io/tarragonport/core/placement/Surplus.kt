package io.tarragonport.core.placement

import kotlin.time.ComparableTimeMark

/**
 * Servers beyond the need at the lower utilisation: [minimum] is the smallest number without interruption [since] then.
 */
internal data class Surplus(
    val since: ComparableTimeMark,
    val minimum: Int,
)
