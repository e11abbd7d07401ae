package io.tarragonport.standin.engine

import io.tarragonport.api.backend.ServiceHeader
import kotlinx.serialization.Serializable

/**
 * One request as it reached a stand-in.
 *
 * [generatedTokens] counts tokens made here, without resumed ones. [cancelled] means that `cancel` was called,
 * [disconnected] that the client closed the connection, [finished] that the final chunk was written. [millisecond] is
 * the arrival on the stand-in's own clock.
 */
@Serializable
data class ReceivedRequest(
    val path: String,
    val headers: List<ServiceHeader>,
    val body: String,
    val requestId: String? = null,
    val priority: Int? = null,
    val resumedTokens: Int = 0,
    val generatedTokens: Int = 0,
    val cancelled: Boolean = false,
    val disconnected: Boolean = false,
    val finished: Boolean = false,
    val millisecond: Long = 0,
)
