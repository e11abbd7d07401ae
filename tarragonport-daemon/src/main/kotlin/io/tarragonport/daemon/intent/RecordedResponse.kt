package io.tarragonport.daemon.intent

import kotlinx.serialization.Serializable

/** The response recorded for an idempotency key. */
@Serializable
data class RecordedResponse(
    val status: Int,
    val contentType: String,
    val bodyBase64: String,
)
