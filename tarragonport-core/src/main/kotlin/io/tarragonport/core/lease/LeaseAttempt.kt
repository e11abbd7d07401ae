package io.tarragonport.core.lease

import io.tarragonport.api.platform.PutCondition
import kotlin.time.ComparableTimeMark

/** A write whose outcome is unknown. */
internal data class LeaseAttempt(
    val record: LeaseRecord,
    val condition: PutCondition,
    val sentAt: ComparableTimeMark,
)
