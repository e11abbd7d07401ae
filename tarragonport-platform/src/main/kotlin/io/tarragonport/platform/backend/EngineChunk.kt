package io.tarragonport.platform.backend

import io.tarragonport.api.id.RequestId
import kotlinx.serialization.Serializable

/** Data of one server-sent event of a model engine; [tokenIndex] is absent in the final chunk. */
@Serializable
data class EngineChunk(
    val id: RequestId,
    val tokenIndex: Int? = null,
    val choices: List<EngineChoice>,
    val usage: EngineUsage? = null,
)
