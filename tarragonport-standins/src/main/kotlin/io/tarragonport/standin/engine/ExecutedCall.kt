package io.tarragonport.standin.engine

import io.tarragonport.api.backend.ServiceHeader
import kotlinx.serialization.Serializable

/** A call executed by a service stand-in; two entries with the same [idempotencyKey] mean a duplicate execution. */
@Serializable
data class ExecutedCall(
    val number: Int,
    val method: String,
    val path: String,
    val query: String,
    val idempotencyKey: String?,
    val body: String,
    val headers: List<ServiceHeader>,
)
