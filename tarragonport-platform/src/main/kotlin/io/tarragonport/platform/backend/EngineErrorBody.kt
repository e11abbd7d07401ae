package io.tarragonport.platform.backend

import kotlinx.serialization.Serializable

/** Body of an engine's error response. */
@Serializable
data class EngineErrorBody(
    val error: EngineError,
)
