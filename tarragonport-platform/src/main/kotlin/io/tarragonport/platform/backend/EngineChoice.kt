package io.tarragonport.platform.backend

import kotlinx.serialization.Serializable

/** The only choice of a chunk; [finishReason] is set in the final chunk. */
@Serializable
data class EngineChoice(
    val index: Int = 0,
    val delta: EngineDelta = EngineDelta(),
    val finishReason: String? = null,
)
