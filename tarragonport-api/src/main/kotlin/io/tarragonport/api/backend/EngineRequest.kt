package io.tarragonport.api.backend

import io.tarragonport.api.id.RequestId
import kotlinx.serialization.Serializable

/**
 * A chat request as sent to a model engine. It is built from scratch, so that no header or field of the caller is
 * forwarded unchecked.
 */
@Serializable
data class EngineRequest(
    val model: String,
    val messages: List<EngineMessage>,
    val stream: Boolean = true,
    val maxTokens: Int? = null,
    val temperature: Double? = null,
    val requestId: RequestId,
    val priority: Int,
    val resume: ResumePosition? = null,
)
