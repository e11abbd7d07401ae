package io.tarragonport.daemon.placement

import io.tarragonport.core.placement.PoolLoad

/** Provides placement with the demand of the whole region, summed over this VM and its peers. */
fun interface DemandSource {
    /** Current demand of each pool; called on the control dispatcher. */
    fun loads(): List<PoolLoad>
}
