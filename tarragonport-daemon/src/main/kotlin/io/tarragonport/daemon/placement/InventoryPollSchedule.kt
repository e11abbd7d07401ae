package io.tarragonport.daemon.placement

import io.tarragonport.api.id.FailureDomainId
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.MutableStateFlow
import kotlin.time.Duration

/** Determines how often this VM polls the inventory of a failure domain. */
fun interface InventoryPollSchedule {
    /** Emits the current interval and then each change; never completes. */
    fun intervals(domain: FailureDomainId): Flow<Duration>

    companion object {
        /** Polls every failure domain once per [interval]. */
        fun fixed(interval: Duration) = InventoryPollSchedule { MutableStateFlow(interval) }
    }
}
