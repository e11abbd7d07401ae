package io.tarragonport.core.lease

import io.tarragonport.api.id.ObjectVersion
import kotlin.time.ComparableTimeMark

/** A lease of another process, first observed at [seenAt]; [version] and [record] are null without an object. */
internal data class ObservedLease(
    val version: ObjectVersion?,
    val record: LeaseRecord?,
    val seenAt: ComparableTimeMark,
)
