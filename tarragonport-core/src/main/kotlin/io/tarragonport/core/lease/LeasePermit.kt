package io.tarragonport.core.lease

import io.tarragonport.api.id.FencingToken
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/** Permission to act as lease holder with [fencingToken] between [from] and [until] on the local monotonic clock. */
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
