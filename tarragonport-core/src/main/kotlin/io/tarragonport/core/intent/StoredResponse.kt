package io.tarragonport.core.intent

import kotlinx.serialization.Serializable

/** A response as stored in a record or in a response object; [bodyBase64] is the body in base64. */
@Serializable
data class StoredResponse(
    val status: Int,
    val contentType: String,
    val bodyBase64: String,
) {
    /** Approximate stored size in bytes. */
    val storedBytes: Int get() = contentType.length + bodyBase64.length

    companion object {
        /** Largest [storedBytes] stored in the bucket head; larger responses are stored in their own object. */
        const val INLINE_LIMIT_BYTES = 1024
    }
}
