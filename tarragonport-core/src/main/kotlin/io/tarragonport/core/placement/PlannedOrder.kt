package io.tarragonport.core.placement

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.PoolId
import io.tarragonport.api.platform.ServerOrderKind

/** An order issued by placement; [server] is null for a start. */
data class PlannedOrder(
    val domain: FailureDomainId,
    val kind: ServerOrderKind,
    val pool: PoolId,
    val capacity: CapacityKind,
    val server: BackendServerId? = null,
)
