package io.tarragonport.daemon.gateway.control

import io.tarragonport.daemon.lease.LeaseGuard
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Does the work of the one VM that holds the duties, as long as it holds them. */
internal class DutyLoop(
    private val lease: LeaseGuard,
    private val fleet: FleetLoop,
    private val usage: UsageDuty?,
    private val scaling: ScalingDuty?,
    private val scale: suspend (ScalingDuty) -> Unit,
) {
    /** Runs until it is cancelled. */
    suspend fun run() {
        while (true) {
            if (lease.held.value == null) scaling?.lost() else work()
            delay(INTERVAL)
        }
    }

    private suspend fun work() {
        if (!fleet.refresh()) return
        usage?.takeIf { it.pending() }?.run()
        scaling?.let { scale(it) }
        fleet.prune()
    }

    private companion object {
        /** The records of the VMs change every two seconds. */
        val INTERVAL: Duration = 2.seconds
    }
}
