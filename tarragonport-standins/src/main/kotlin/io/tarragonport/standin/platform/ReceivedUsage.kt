package io.tarragonport.standin.platform

import io.tarragonport.api.platform.UsageReport
import kotlinx.serialization.Serializable

/** A usage report received [atMs] after the start of the stand-in, with the [status] of the response. */
@Serializable
data class ReceivedUsage(
    val atMs: Long,
    val report: UsageReport,
    val status: Int,
)
