package io.tarragonport.core.lease

import io.tarragonport.api.id.ObjectVersion
import kotlin.time.ComparableTimeMark

/**
 * A lease held by this process.
 *
 * [version] and [record] are those of the last confirmed write, which was sent at [sentAt]. The process may issue
 * orders from [ordersFrom] on. No other process has held the lease since [heldSince].
 */
internal data class ConfirmedLease(
    val version: ObjectVersion,
    val record: LeaseRecord,
    val sentAt: ComparableTimeMark,
    val ordersFrom: ComparableTimeMark,
    val heldSince: ComparableTimeMark,
)
