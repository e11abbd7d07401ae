package io.tarragonport.api.backend

import io.tarragonport.api.id.RequestId
import kotlinx.serialization.Serializable

/**
 * The KV cache of the stream [requestId], exported by its server for other engines. It covers [tokens] tokens of prompt
 * and output, and the prompt's [blocks]. The data remains on the server, where it is identified by [handle].
 */
@Serializable
data class CacheExport(
    val requestId: RequestId,
    val tokens: Int,
    val blocks: List<String> = emptyList(),
    val handle: String = "",
)
