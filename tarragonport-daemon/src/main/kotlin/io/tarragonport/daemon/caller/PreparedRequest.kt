package io.tarragonport.daemon.caller

import io.tarragonport.core.admission.PendingRequest

/**
 * A request that passed every check and was charged to its limits.
 *
 * [visibleId] is the id returned to the caller, [bodyDigest] identifies method, path and body, [idempotencyKey] is set
 * if requests of its class must not be repeated, [acquiredTokens] were charged to the token limits.
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
