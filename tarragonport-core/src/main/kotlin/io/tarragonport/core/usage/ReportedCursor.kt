package io.tarragonport.core.usage

import io.tarragonport.api.id.UsageWindow
import kotlinx.serialization.Serializable

/** Position of a shard's reports: all windows up to [window] are reported. */
@Serializable
data class ReportedCursor(
    val window: UsageWindow,
)
