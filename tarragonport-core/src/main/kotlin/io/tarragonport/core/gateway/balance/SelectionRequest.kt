package io.tarragonport.core.gateway.balance

import io.tarragonport.api.gateway.PromptShape
import io.tarragonport.api.id.ServiceId
import kotlin.time.Duration

/** What the choice of a server depends on; [shortPrompt] as [PromptProfile] tells it. */
data class SelectionRequest(
    val service: ServiceId,
    val prompt: PromptShape?,
    val shortPrompt: Boolean,
    val latencyObjective: Duration,
)
