package io.tarragonport.daemon.intent

import arrow.core.Either
import io.tarragonport.api.error.RequestError
import io.tarragonport.api.id.OrganisationId

/**
 * Ensures that a request with an idempotency key runs at most once, across all VMs and restarts.
 *
 * A claim is durable before [claim] returns [ClaimResult.Granted]. The holder of a grant calls exactly one of [finish]
 * and [release].
 */
interface IntentRegistry {
    /** Claims [idempotencyKey]; a left value means that the claim failed and the request must not be sent. */
    suspend fun claim(
        organisation: OrganisationId,
        idempotencyKey: String,
        bodyDigest: String,
        retentionHours: Int,
    ): Either<RequestError, ClaimResult>

    /**
     * Records the response and returns once it is durable or has been given up. During an outage of the platform this
     * takes as long as the outage. If the caller is cancelled, recording continues in the background.
     */
    suspend fun finish(
        grant: ClaimGrant,
        response: RecordedResponse,
    )

    /** Releases the claim; allowed only if no byte of the request was sent. Waits like [finish]. */
    suspend fun release(grant: ClaimGrant)
}
