package io.tarragonport.api.gateway

import io.tarragonport.api.id.RequestId
import kotlin.time.Duration

/**
 * Metadata of a backend server's response.
 *
 * [notExecuted] is true only if the server states that it has not run the request. A response without a [signature]
 * must not be returned to a caller as a success. [leaving] is true if the server says that it is about to end.
 * [encoded] is true if the body has a content encoding. [pause] is the time for which a server that refused the request
 * wants no further ones from this VM; null if it did not say so.
 */
data class ResponseMetadata(
    val requestId: RequestId?,
    val signature: String?,
    val notExecuted: Boolean,
    val leaving: Boolean,
    val encoded: Boolean,
    val pause: Duration? = null,
)
