package io.tarragonport.api.backend

import io.tarragonport.api.id.BackendServerId
import kotlinx.serialization.Serializable

/**
 * A model engine's own view of its load, [ageMs] old when it was sent. [models] are those that it has loaded; null from
 * an engine that was started with its model and does not report it.
 */
@Serializable
data class LoadReport(
    val server: BackendServerId,
    val ageMs: Long,
    val running: Int,
    val waiting: Int,
    val cacheUsedShare: Double = 0.0,
    val tokensPerSecond: Double = 0.0,
    val draining: Boolean = false,
    val models: List<String>? = null,
) {
    /** True if requests for [model] can run on the engine. */
    fun supports(model: String): Boolean = models == null || model in models
}
