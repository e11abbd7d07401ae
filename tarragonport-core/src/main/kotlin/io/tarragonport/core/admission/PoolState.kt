package io.tarragonport.core.admission

import io.tarragonport.core.routing.ServerPool
import io.tarragonport.core.routing.ServerSubset

/** State of one pool in [TieredDispatch]. */
internal class PoolState(
    subset: ServerSubset,
) {
    val queue = PoolQueue()
    val serverPool = ServerPool(subset)
    val running = LinkedHashSet<RunningRequest>()
}
