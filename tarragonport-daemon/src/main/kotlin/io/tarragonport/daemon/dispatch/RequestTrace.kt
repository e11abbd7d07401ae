package io.tarragonport.daemon.dispatch

import kotlinx.serialization.Serializable

/** Decisions about one request, oldest first. */
@Serializable
data class RequestTrace(
    val requestId: String,
    val organisation: String,
    val requestClass: String,
    val pool: String,
    val entries: List<TraceEntry>,
)
