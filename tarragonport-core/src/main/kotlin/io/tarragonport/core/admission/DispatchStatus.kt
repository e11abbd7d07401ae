package io.tarragonport.core.admission

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.PoolId

/** Queue, running requests and ejected servers of one pool on this VM, for status and metrics. */
data class DispatchStatus(
    val pool: PoolId,
    val waitingByTier: Map<Int, Int>,
    val running: Int,
    val ejected: List<BackendServerId>,
)
