package io.tarragonport.api.gateway

/** Capacity of one model engine: [slots] concurrent requests, and [cacheTokens] tokens in its KV cache. */
data class EngineLimits(
    val slots: Int,
    val cacheTokens: Long,
)
