package io.tarragonport.core.lease

import io.tarragonport.api.id.FencingToken
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/** The right to act as holder with [fencingToken] from [from] until [until] on the holder's monotonic clock. */
data class LeasePermit(
    val fencingToken: FencingToken,
    val from: ComparableTimeMark,
    val until: ComparableTimeMark,
) {
    /** Whether a call that starts at [now] and takes at most [longestCall] ends while the permit is valid. */
    fun covers(
        now: ComparableTimeMark,
        longestCall: Duration,
    ): Boolean = now >= from && now + longestCall <= until
}
