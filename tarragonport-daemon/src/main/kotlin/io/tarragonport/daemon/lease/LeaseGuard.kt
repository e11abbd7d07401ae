package io.tarragonport.daemon.lease

import io.tarragonport.api.id.FencingToken
import kotlinx.coroutines.flow.StateFlow
import kotlin.time.Duration

/** Authorises actions that only the holder of a lease may take. */
interface LeaseGuard {
    /**
     * Fencing token of the lease if this VM holds it, else null. Only [authorize] gives permission to act.
     */
    val heldToken: StateFlow<FencingToken?>

    /** How long no other VM has held the lease; null if this VM does not hold it. */
    fun heldFor(): Duration?

    /**
     * The fencing token to act under, or null if the lease does not remain valid for at least [longestCall]. Must be
     * called immediately before the request is sent; callable from any thread.
     */
    fun authorize(longestCall: Duration): FencingToken?
}
