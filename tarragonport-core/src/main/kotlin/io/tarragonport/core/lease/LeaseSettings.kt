package io.tarragonport.core.lease

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Timing of a lease.
 *
 * The holder considers its lease valid for [duration] − [margin] after it sent the renewal. An observer waits for
 * [duration] + [margin] after it observed the last change. The margins cover clocks that run at different rates. A new
 * holder issues its first order [takeoverDelay] after it acquired the lease, so that the last order of its predecessor
 * has ended by then.
 */
data class LeaseSettings(
    val duration: Duration = 10.seconds,
    val margin: Duration = 2.seconds,
    val renewInterval: Duration = 3.seconds,
    val observeInterval: Duration = 3.seconds,
    val retryInterval: Duration = 500.milliseconds,
    val takeoverDelay: Duration = 3.seconds,
) {
    /** Validity of a renewal for its holder, counted from its sending. */
    val validity: Duration get() = duration - margin

    init {
        require(renewInterval < validity) { "renewInterval $renewInterval must be less than the validity $validity" }
    }
}
