package io.tarragonport.daemon.caller

import io.tarragonport.api.id.KeyId
import io.tarragonport.api.id.OrganisationId

/** Grants every request. */
object Unlimited : RateLimiter {
    override fun tryAcquire(
        organisation: OrganisationId,
        key: KeyId?,
        tokens: Long,
    ): RateLimitDecision = RateLimitDecision.Granted

    override fun charge(
        organisation: OrganisationId,
        key: KeyId?,
        acquired: Long,
        used: Long,
    ) = Unit

    override fun refund(
        organisation: OrganisationId,
        key: KeyId?,
        tokens: Long,
    ) = Unit
}
