package io.tarragonport.daemon.placement

import io.tarragonport.api.platform.ServerOrder
import io.tarragonport.core.placement.PlannedOrder

/** An order to send, or to retry because it got no response; [retries] counts the retries so far. */
internal data class OutstandingOrder(
    val planned: PlannedOrder,
    val order: ServerOrder,
    val retries: Int = 0,
)
