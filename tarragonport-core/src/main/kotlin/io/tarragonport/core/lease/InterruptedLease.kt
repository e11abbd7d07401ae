package io.tarragonport.core.lease

import kotlin.time.ComparableTimeMark

/**
 * A lease that this process held from [heldSince] on and has to acquire again under another token. Until [until] no
 * other process can hold it.
 */
internal data class InterruptedLease(
    val heldSince: ComparableTimeMark,
    val until: ComparableTimeMark,
)
