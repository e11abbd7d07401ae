package io.tarragonport.platform.backend

import kotlinx.serialization.Serializable

/** Token counts of a whole response, including the tokens before a resumption. */
@Serializable
data class EngineUsage(
    val promptTokens: Int,
    val completionTokens: Int,
)
