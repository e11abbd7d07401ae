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

    companion object {
        private const val RENEWALS_PER_LEASE = 3

        /**
         * Settings of a lease of [duration] whose holder sends calls of up to [longestCall] at any time. A renewal is
         * due early enough that the permit covers such a call until the response to the renewal arrives.
         */
        fun forCalls(
            duration: Duration,
            margin: Duration,
            longestCall: Duration,
            retryInterval: Duration,
        ): LeaseSettings =
            LeaseSettings(
                duration = duration,
                margin = margin,
                renewInterval = minOf(duration / RENEWALS_PER_LEASE, (duration - margin - longestCall) / 2),
                observeInterval = duration / 2,
                retryInterval = retryInterval,
                takeoverDelay = longestCall,
            )
    }
}
