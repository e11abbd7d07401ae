package io.tarragonport.core.placement

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.FailureDomainId

/** A server that counts towards the capacity of a pool; [id] is null if it is ordered but not in the inventory yet. */
internal data class PoolServer(
    val domain: FailureDomainId,
    val capacity: CapacityKind,
    val id: BackendServerId? = null,
    val removable: Boolean = false,
)
