package io.tarragonport.core.lease

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Times of a lease.
 *
 * A holder relies on the lease for [duration] − [margin] from the moment it sent the renewal; an observer waits for
 * [duration] + [margin]. The margins cover clocks that run at different rates. A new holder gives its first order
 * [takeoverDelay] after it acquired the lease, so that the last order of its predecessor has ended by then.
 */
data class LeaseSettings(
    val duration: Duration = 10.seconds,
    val margin: Duration = 2.seconds,
    val renewInterval: Duration = 3.seconds,
    val observeInterval: Duration = 3.seconds,
    val retryInterval: Duration = 500.milliseconds,
    val takeoverDelay: Duration = 3.seconds,
) {
    /** How long a holder relies on a renewal, counted from its sending. */
    val validity: Duration get() = duration - margin

    init {
        require(renewInterval < validity) { "a lease has to be renewed within its validity of $validity" }
    }
}
