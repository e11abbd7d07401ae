package io.tarragonport.api.gateway

/** What one model engine of a service holds: requests in a batch and tokens in its KV cache. */
data class EngineLimits(
    val slots: Int,
    val cacheTokens: Long,
)
