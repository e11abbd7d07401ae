package io.tarragonport.core.intent

import kotlinx.serialization.Serializable

/** An answer as it is kept in a record or in an answer object; [bodyBase64] is the body in base64. */
@Serializable
data class StoredResponse(
    val status: Int,
    val contentType: String,
    val bodyBase64: String,
) {
    /** Approximate size in the stored form, in bytes. */
    val storedBytes: Int get() = contentType.length + bodyBase64.length

    companion object {
        /** Largest [storedBytes] kept inside the bucket head; larger answers have their own object. */
        const val INLINE_LIMIT_BYTES = 1024
    }
}
