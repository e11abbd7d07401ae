package io.tarragonport.daemon.usage

import io.tarragonport.api.id.FencingToken
import kotlin.time.Duration

/** The lease `usage/{shard}`, as far as reporting needs it. */
fun interface UsageLease {
    /** Returns the fencing number if the lease is valid for at least [longestCall] from now, else null. */
    fun authorize(longestCall: Duration): FencingToken?
}
