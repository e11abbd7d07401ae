package io.tarragonport.daemon.placement

import io.tarragonport.api.id.FailureDomainId
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.MutableStateFlow
import kotlin.time.Duration

/** Says how often this VM reads the inventory of a failure domain. */
fun interface InventoryPollSchedule {
    /** The interval in force, then each change of it; never ends. */
    fun intervals(domain: FailureDomainId): Flow<Duration>

    companion object {
        /** Reads every failure domain each [interval]. */
        fun fixed(interval: Duration) = InventoryPollSchedule { MutableStateFlow(interval) }
    }
}
