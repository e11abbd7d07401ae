package io.tarragonport.api.gateway

/** Load reported by a model engine some hundred milliseconds ago. */
data class EngineReport(
    val waiting: Int,
    val running: Int,
    val usedCacheTokens: Long,
    val cacheTokens: Long,
)
