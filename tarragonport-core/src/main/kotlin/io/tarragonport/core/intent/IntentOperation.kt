package io.tarragonport.core.intent

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A change requested by a VM in a bucket head; [attempt] identifies the claim. */
@Serializable
sealed interface IntentOperation {
    val digest: String
    val attempt: String

    /** Claims [digest] until [expiresAt], in milliseconds since the epoch. */
    @Serializable
    @SerialName("claim")
    data class Claim(
        override val digest: String,
        override val attempt: String,
        val bodyDigest: String,
        val expiresAt: Long,
    ) : IntentOperation

    /** Records the response of [attempt]; [answer] is null if it is stored in its own object. */
    @Serializable
    @SerialName("finish")
    data class Finish(
        override val digest: String,
        override val attempt: String,
        val answer: StoredResponse?,
    ) : IntentOperation

    /** Removes the claim of [attempt], whose request was never sent. */
    @Serializable
    @SerialName("release")
    data class Release(
        override val digest: String,
        override val attempt: String,
    ) : IntentOperation
}
