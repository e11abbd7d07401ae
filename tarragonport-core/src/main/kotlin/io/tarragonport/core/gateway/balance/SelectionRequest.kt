package io.tarragonport.core.gateway.balance

import io.tarragonport.api.gateway.PromptShape
import io.tarragonport.api.id.ServiceId
import kotlin.time.Duration

/**
 * Properties of a request that affect server selection.
 *
 * [shortPrompt] is the classification of [PromptProfile]. [longestWait] is the time that the prompts ahead of the
 * request may take at the engine for which it is sent now; null without a limit.
 */
data class SelectionRequest(
    val service: ServiceId,
    val prompt: PromptShape?,
    val shortPrompt: Boolean,
    val latencyObjective: Duration,
    val longestWait: Duration? = null,
)
