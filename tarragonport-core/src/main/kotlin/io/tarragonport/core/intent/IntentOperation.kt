package io.tarragonport.core.intent

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A change that a VM asks for in a bucket head; [attempt] is the claim it belongs to. */
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

    /** Records the answer of [attempt]; a null [answer] means that it is in an object of its own. */
    @Serializable
    @SerialName("finish")
    data class Finish(
        override val digest: String,
        override val attempt: String,
        val answer: StoredResponse?,
    ) : IntentOperation

    /** Removes the claim of [attempt], which was never sent. */
    @Serializable
    @SerialName("release")
    data class Release(
        override val digest: String,
        override val attempt: String,
    ) : IntentOperation
}
