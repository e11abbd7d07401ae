package io.tarragonport.api.gateway

/**
 * Load reported by a model engine some hundred milliseconds ago: requests [waiting] and [running], and tokens in its KV
 * cache.
 */
data class EngineReport(
    val waiting: Int,
    val running: Int,
    val usedCacheTokens: Long,
    val cacheTokens: Long,
)
