package io.tarragonport.core.lease

import io.tarragonport.api.id.ObjectVersion
import kotlin.time.ComparableTimeMark

/** A lease that this process holds: the last write known to be in effect and when it was sent. */
internal data class HeldLease(
    val version: ObjectVersion,
    val record: LeaseRecord,
    val sentAt: ComparableTimeMark,
    val ordersFrom: ComparableTimeMark,
)
