package io.tarragonport.api.backend

import io.tarragonport.api.id.RequestId
import kotlinx.serialization.Serializable

/** Asks a model engine to retain the KV cache of the stream [requestId], so that another engine can fetch it. */
@Serializable
data class CacheExportRequest(
    val requestId: RequestId,
)
