package io.tarragonport.core.usage

import io.tarragonport.api.id.UsageWindow
import kotlinx.serialization.Serializable

/** Usage counted by one process for an organisation in one window. */
@Serializable
data class WindowAmount(
    val window: UsageWindow,
    val amount: UsageTotals,
)
