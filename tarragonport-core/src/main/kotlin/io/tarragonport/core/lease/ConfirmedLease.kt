package io.tarragonport.core.lease

import io.tarragonport.api.id.ObjectVersion
import kotlin.time.ComparableTimeMark

/** A lease held by this process: the last write confirmed to be in effect and when it was sent. */
internal data class ConfirmedLease(
    val version: ObjectVersion,
    val record: LeaseRecord,
    val sentAt: ComparableTimeMark,
    val ordersFrom: ComparableTimeMark,
)
