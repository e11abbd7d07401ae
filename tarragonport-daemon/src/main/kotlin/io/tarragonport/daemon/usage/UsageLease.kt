package io.tarragonport.daemon.usage

import io.tarragonport.api.id.FencingToken
import kotlin.time.Duration

/** The part of the lease `usage/{shard}` that reporting uses. */
fun interface UsageLease {
    /** Returns the fencing token if the lease is valid for at least [longestCall] from now, else null. */
    fun authorize(longestCall: Duration): FencingToken?
}
