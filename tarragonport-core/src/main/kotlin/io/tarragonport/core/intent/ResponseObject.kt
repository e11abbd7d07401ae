package io.tarragonport.core.intent

import kotlinx.serialization.Serializable

/** Content of a response object; [attempt] identifies the record to which the response belongs. */
@Serializable
data class ResponseObject(
    val attempt: String,
    val answer: StoredResponse,
)
