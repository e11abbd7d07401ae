package io.tarragonport.api.gateway

import io.tarragonport.api.id.RequestId
import kotlin.time.Duration

/**
 * What a caller says of its request beside method, path and body.
 *
 * [callerTimeout] is how long the caller waits for the answer. [prompt] is set for requests to model engines, [resumeAfter]
 * if the caller continues a stream after an event that it has seen.
 */
data class CallerMetadata(
    val requestId: RequestId?,
    val key: String?,
    val callerTimeout: Duration?,
    val prompt: PromptShape?,
    val resumeAfter: String?,
)
