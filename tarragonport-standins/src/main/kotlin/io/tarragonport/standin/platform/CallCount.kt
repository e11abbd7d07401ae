package io.tarragonport.standin.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Number of calls to one interface since the start of the stand-in; [watches] counts all watches started. */
@Serializable
data class CallCount(
    @SerialName("interface")
    val target: String,
    val reads: Long,
    val writes: Long,
    val watches: Long,
)
