package io.tarragonport.daemon.placement

import io.tarragonport.api.platform.InventoryServer
import kotlin.time.ComparableTimeMark

/** Last inventory of one failure domain, received from the backend server interface at [readAt]. */
data class DomainInventory(
    val servers: List<InventoryServer>,
    val readAt: ComparableTimeMark,
)
