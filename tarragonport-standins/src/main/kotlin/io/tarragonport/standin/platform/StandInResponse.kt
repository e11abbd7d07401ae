package io.tarragonport.standin.platform

import io.tarragonport.api.id.ObjectVersion
import kotlin.time.Duration

/** A response of the stand-in before connection faults are applied. */
internal data class StandInResponse(
    val status: Int,
    val body: String,
    val version: ObjectVersion? = null,
    val retryAfter: Duration? = null,
)
