package io.tarragonport.daemon.dispatch

import kotlinx.serialization.Serializable

/** One event of a request; [atMs] is the time since its arrival at this VM. */
@Serializable
data class TraceEntry(
    val atMs: Long,
    val event: String,
    val choice: String = "",
    val candidates: List<String> = emptyList(),
    val reason: String = "",
)
