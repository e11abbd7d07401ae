package io.tarragonport.daemon.caller

import io.tarragonport.core.admission.PendingRequest

/**
 * A request that passed every check and was charged to its limits.
 *
 * [visibleId] is the id returned to the caller, [bodyDigest] is the digest of the body, for service calls also of
 * method and path, [idempotencyKey] is set if requests of its class must not be repeated, and [acquiredTokens] were
 * charged to the token limits.
 */
class PreparedRequest(
    val admission: Admission,
    val pending: PendingRequest,
    val visibleId: String,
    val bodyDigest: String,
    val idempotencyKey: String?,
    val markedAsRetry: Boolean,
    val acquiredTokens: Long,
)
