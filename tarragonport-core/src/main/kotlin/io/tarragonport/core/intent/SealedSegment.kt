package io.tarragonport.core.intent

import kotlinx.serialization.Serializable

/** A sealed segment listed in a bucket head; [expiresAt] is the latest expiry among its records. */
@Serializable
data class SealedSegment(
    val number: Int,
    val expiresAt: Long,
)
