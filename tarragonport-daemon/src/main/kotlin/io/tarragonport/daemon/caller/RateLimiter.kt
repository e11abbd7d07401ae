package io.tarragonport.daemon.caller

import io.tarragonport.api.id.KeyId
import io.tarragonport.api.id.OrganisationId

/** Enforces limits of requests and tokens on this VM's share; safe to call from any thread, never waits. */
interface RateLimiter {
    /** Takes one request and [tokens] tokens; [key] is null on routes open to all. */
    fun tryAcquire(
        organisation: OrganisationId,
        key: KeyId?,
        tokens: Long,
    ): RateLimitDecision

    /** Charges the difference between [acquired] and [used] tokens at the end of a request; may give tokens back. */
    fun charge(
        organisation: OrganisationId,
        key: KeyId?,
        acquired: Long,
        used: Long,
    )

    /** Gives the request and its [tokens] back: it did not run. */
    fun refund(
        organisation: OrganisationId,
        key: KeyId?,
        tokens: Long,
    )
}
