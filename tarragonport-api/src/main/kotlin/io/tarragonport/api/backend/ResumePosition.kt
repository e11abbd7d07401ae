package io.tarragonport.api.backend

import kotlinx.serialization.Serializable

/** Position at which another server resumes a stream: [text], of [tokens] tokens, has already been delivered. */
@Serializable
data class ResumePosition(
    val text: String,
    val tokens: Int,
)
