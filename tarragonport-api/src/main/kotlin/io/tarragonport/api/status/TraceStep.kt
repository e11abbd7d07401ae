package io.tarragonport.api.status

import kotlinx.serialization.Serializable

/** One decision: [atMs] milliseconds after arrival, the number and name of the log event, and its details. */
@Serializable
data class TraceStep(
    val atMs: Long,
    val event: Int,
    val name: String,
    val detail: String,
)
