package io.tarragonport.api.backend

import io.tarragonport.api.id.RequestId
import kotlinx.serialization.Serializable

/** Asks a model engine to fetch [export] from the engine at [source] for its upcoming request [requestId]. */
@Serializable
data class CacheImport(
    val requestId: RequestId,
    val source: String,
    val export: CacheExport,
)
