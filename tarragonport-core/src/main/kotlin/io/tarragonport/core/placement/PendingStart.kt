package io.tarragonport.core.placement

import kotlin.time.ComparableTimeMark

/** A start ordered at [orderedAt] whose server is not in the inventory yet. */
internal data class PendingStart(
    val order: PlannedOrder,
    val orderedAt: ComparableTimeMark,
)
