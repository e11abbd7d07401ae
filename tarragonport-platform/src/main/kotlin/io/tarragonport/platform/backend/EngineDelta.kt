package io.tarragonport.platform.backend

import kotlinx.serialization.Serializable

/** Text that a chunk appends to the response. */
@Serializable
data class EngineDelta(
    val content: String? = null,
)
