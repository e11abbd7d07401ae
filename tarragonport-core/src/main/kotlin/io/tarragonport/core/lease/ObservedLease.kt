package io.tarragonport.core.lease

import io.tarragonport.api.id.ObjectVersion
import kotlin.time.ComparableTimeMark

/** A lease of another process, first observed at [since]; [version] and [record] are null if there is no object. */
internal data class ObservedLease(
    val version: ObjectVersion?,
    val record: LeaseRecord?,
    val since: ComparableTimeMark,
)
