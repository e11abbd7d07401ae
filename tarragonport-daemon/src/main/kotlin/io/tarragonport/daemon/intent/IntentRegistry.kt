package io.tarragonport.daemon.intent

import arrow.core.Either
import io.tarragonport.api.error.RequestError
import io.tarragonport.api.id.OrganisationId

/**
 * Keeps requests that may not be repeated from running twice, over all VMs and restarts.
 *
 * A claim is durable before [claim] returns [ClaimResult.Granted]. The holder of a grant calls exactly one of [finish]
 * and [release].
 */
interface IntentRegistry {
    /** Claims [idempotencyKey]; a left value means that nothing was claimed and nothing may be sent. */
    suspend fun claim(
        organisation: OrganisationId,
        idempotencyKey: String,
        bodyDigest: String,
        retentionHours: Int,
    ): Either<RequestError, ClaimResult>

    /**
     * Records the answer and returns once it is durable or cannot be recorded. While the platform is away this takes as
     * long as the outage; recording goes on in the background if the caller stops waiting.
     */
    suspend fun finish(
        grant: ClaimGrant,
        answer: RecordedResponse,
    )

    /** Gives the claim back, only if no byte of the request was sent; waits like [finish]. */
    suspend fun release(grant: ClaimGrant)
}
