package io.tarragonport.daemon.lease

import io.tarragonport.api.id.FencingToken
import kotlinx.coroutines.flow.StateFlow
import kotlin.time.Duration

/** Tells work that needs a single holder whether this VM may do it now. */
interface LeaseGuard {
    /**
     * Fencing number of the lease that this VM holds, null without it. Permission to act comes from [authorize] only.
     */
    val held: StateFlow<FencingToken?>

    /**
     * The fencing number to act under, or null if the lease is not valid for [longestCall] more. Has to be called in
     * the same step as the send, from any thread.
     */
    fun authorize(longestCall: Duration): FencingToken?
}
