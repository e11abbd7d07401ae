package io.tarragonport.daemon.caller

import io.tarragonport.api.id.KeyId
import io.tarragonport.api.id.OrganisationId

/** Enforces this VM's share of the request and token limits; safe to call from any thread, never blocks. */
interface RateLimiter {
    /** Acquires one request and [tokens] tokens; [key] is null on routes open to all. */
    fun tryAcquire(
        organisation: OrganisationId,
        key: KeyId?,
        tokens: Long,
    ): RateLimitDecision

    /** Charges [used] minus [acquired] tokens at the end of a request; a negative difference is refunded. */
    fun charge(
        organisation: OrganisationId,
        key: KeyId?,
        acquired: Long,
        used: Long,
    )

    /** Refunds a request that did not run and its [tokens]. */
    fun refund(
        organisation: OrganisationId,
        key: KeyId?,
        tokens: Long,
    )
}
