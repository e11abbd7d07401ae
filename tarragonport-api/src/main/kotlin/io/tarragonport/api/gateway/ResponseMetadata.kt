package io.tarragonport.api.gateway

import io.tarragonport.api.id.RequestId

/**
 * What a backend server says of its answer.
 *
 * [notRun] is true only if the server states that it has not run the request. An answer without a [signature] may not
 * reach a caller as a success.
 */
data class ResponseMetadata(
    val requestId: RequestId?,
    val signature: String?,
    val notRun: Boolean,
    val encoded: Boolean,
)
