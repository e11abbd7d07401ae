package io.tarragonport.daemon.intent

import kotlinx.serialization.Serializable

/** The answer kept with an idempotency key; [bodyBase64] is the body in base64. */
@Serializable
data class RecordedResponse(
    val status: Int,
    val contentType: String,
    val bodyBase64: String,
)
