package io.tarragonport.api.backend

import kotlinx.serialization.Serializable

/**
 * A prefix block was added to ([stored]) or evicted from an engine's cache; a jump in [sequence] means that events were
 * missed.
 */
@Serializable
data class CacheEvent(
    val sequence: Long,
    val block: String,
    val stored: Boolean,
)
