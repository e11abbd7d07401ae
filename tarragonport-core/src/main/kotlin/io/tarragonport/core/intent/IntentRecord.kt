package io.tarragonport.core.intent

import kotlinx.serialization.Serializable

/**
 * A durable claim of one idempotency key.
 *
 * [digest] identifies organisation and key, [attempt] the claim that may run the request. Times are milliseconds since
 * the epoch. A finished record has its answer in [answer] or, if [answerStored], in an object of its own.
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
