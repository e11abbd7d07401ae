package io.tarragonport.api.gateway

import io.tarragonport.api.id.RequestId
import kotlin.time.Duration

/**
 * Metadata that a caller sends with a request in headers.
 *
 * [callerTimeout] is the time for which the caller waits for the response. [prompt] is set for requests to model
 * engines. [resumeAfter] is the id of the last event received, if the caller resumes a stream.
 */
data class CallerMetadata(
    val requestId: RequestId?,
    val key: String?,
    val callerTimeout: Duration?,
    val prompt: PromptShape?,
    val resumeAfter: String?,
)
