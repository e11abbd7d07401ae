package io.tarragonport.api.gateway

/** Load of a model engine as it reported it some hundred milliseconds ago. */
data class EngineReport(
    val waiting: Int,
    val running: Int,
    val usedCacheTokens: Long,
    val cacheTokens: Long,
)
