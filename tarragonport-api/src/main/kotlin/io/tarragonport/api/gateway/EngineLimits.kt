package io.tarragonport.api.gateway

/** Capacity of one model engine of a service: requests in a batch and tokens in its KV cache. */
data class EngineLimits(
    val slots: Int,
    val cacheTokens: Long,
)
