package io.tarragonport.core.placement

import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.platform.InventoryServer

/**
 * Input of one placement decision.
 *
 * [inventory] has the servers listed by the backend server interface. [currentDomains] are the domains whose inventory
 * is current; no orders are issued in other domains.
 */
data class PlacementInput(
    val pools: List<PlacementPool>,
    val loads: List<PoolLoad>,
    val inventory: List<InventoryServer>,
    val currentDomains: Set<FailureDomainId>,
)
