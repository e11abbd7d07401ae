package io.tarragonport.core.placement

import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.platform.InventoryServer

/**
 * What one decision is made from.
 *
 * [inventory] holds the servers that the backend server interface lists. [currentDomains] are the domains whose inventory is
 * current; no order is given in others.
 */
data class PlacementInput(
    val pools: List<PlacementPool>,
    val loads: List<PoolLoad>,
    val inventory: List<InventoryServer>,
    val currentDomains: Set<FailureDomainId>,
)
