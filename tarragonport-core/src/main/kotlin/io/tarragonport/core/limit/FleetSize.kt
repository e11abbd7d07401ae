package io.tarragonport.core.limit

import io.tarragonport.api.id.VmId

/** The [live] VMs, including this one, and the number of [lost] VMs, which may be dead or partitioned. */
data class FleetSize(
    val live: Set<VmId>,
    val lost: Int,
) {
    /** Equal share of each VM. Lost VMs count, because a partitioned VM considers all others lost. */
    val equalShare: Double get() = 1.0 / (live.size + lost)

    /**
     * Share without an aggregator: the equal share, or [ISOLATED_FACTOR] of it if this VM has lost all of several
     * others.
     */
    val fallbackShare: Double get() = if (isolated) ISOLATED_FACTOR * equalShare else equalShare

    /**
     * Share reserved for lost VMs. A single lost VM is as likely dead as partitioned; reserving half of what it may use
     * keeps the error at about 5% in both cases with 7 VMs. Several lost VMs are more likely partitioned, so their
     * equal shares are reserved in full.
     */
    val reserve: Double
        get() =
            when {
                isolated -> 1 - fallbackShare
                lost == 1 && live.size > 1 -> ISOLATED_FACTOR * equalShare / 2
                lost == 1 -> equalShare / 2
                else -> lost * equalShare
            }

    private val isolated: Boolean get() = live.size == 1 && lost > 1

    companion object {
        /** Below one, because a VM that lost all others at once is more likely partitioned than the only one alive. */
        const val ISOLATED_FACTOR = 0.7
    }
}
