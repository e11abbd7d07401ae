package io.tarragonport.daemon.gateway.control

import io.tarragonport.daemon.lease.LeaseGuard
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Performs the duties reserved for one VM (usage reports, scaling and pruning) while this VM holds the lease. */
internal class DutyLoop(
    private val lease: LeaseGuard,
    private val fleet: FleetLoop,
    private val usage: UsageDuty?,
    private val scaling: ScalingDuty?,
    private val scale: suspend (ScalingDuty) -> Unit,
) {
    /** Runs until cancelled. */
    suspend fun run() {
        while (true) {
            if (lease.heldToken.value == null) scaling?.reset() else performDuties()
            delay(INTERVAL)
        }
    }

    private suspend fun performDuties() {
        if (!fleet.refresh()) return
        usage?.takeIf { it.pending() }?.run()
        scaling?.let { scale(it) }
        fleet.prune()
    }

    private companion object {
        /** The record of a VM changes every two seconds or less often. */
        val INTERVAL: Duration = 2.seconds
    }
}
