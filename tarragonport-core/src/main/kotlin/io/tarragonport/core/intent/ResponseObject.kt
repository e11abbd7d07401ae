package io.tarragonport.core.intent

import kotlinx.serialization.Serializable

/** Content of an answer object; [attempt] ties it to the record whose answer it is. */
@Serializable
data class ResponseObject(
    val attempt: String,
    val answer: StoredResponse,
)
