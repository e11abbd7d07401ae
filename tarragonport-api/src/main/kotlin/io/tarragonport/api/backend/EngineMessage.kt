package io.tarragonport.api.backend

import kotlinx.serialization.Serializable

/** One message of a chat prompt. */
@Serializable
data class EngineMessage(
    val role: String,
    val content: String,
)
