package io.tarragonport.api.platform

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.PoolId
import kotlinx.serialization.Serializable

/**
 * A backend server in the inventory; [leavesInMs] is the notice given before a reclaim, [checksFencing] whether it
 * refuses old fencing numbers.
 */
@Serializable
data class InventoryServer(
    val id: BackendServerId,
    val address: String,
    val pool: PoolId,
    val failureDomain: FailureDomainId,
    val cheap: Boolean = false,
    val state: InventoryServerState = InventoryServerState.LIVE,
    val leavesInMs: Long? = null,
    val checksFencing: Boolean = true,
)
