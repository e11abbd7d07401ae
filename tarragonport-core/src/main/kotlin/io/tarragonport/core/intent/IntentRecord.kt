package io.tarragonport.core.intent

import kotlinx.serialization.Serializable

/**
 * A durable claim of one idempotency key.
 *
 * [digest] identifies the organisation and key, [attempt] the claim that may execute the request. Times are in
 * milliseconds since the epoch. The response of a finished record is in [answer], or in a response object of its own if
 * [answerStored].
 */
@Serializable
data class IntentRecord(
    val digest: String,
    val bodyDigest: String,
    val attempt: String,
    val state: IntentState,
    val claimedAt: Long,
    val expiresAt: Long,
    val answer: StoredResponse? = null,
    val answerStored: Boolean = false,
)
