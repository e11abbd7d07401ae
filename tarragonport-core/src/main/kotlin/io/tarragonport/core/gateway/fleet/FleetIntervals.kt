package io.tarragonport.core.gateway.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Intervals of a VM's calls to the store and of its messages to other VMs, scaled by the size of the fleet.
 *
 * The store's rate limits grow more slowly than the fleet, and every call is billed. The intervals have their minimum
 * up to [SMALL_FLEET] VMs and grow in proportion to larger fleets, by a factor of up to [MAX_SCALE].
 */
data class FleetIntervals(
    val liveVms: Int,
) {
    private val scale = (liveVms.toDouble() / SMALL_FLEET).coerceIn(1.0, MAX_SCALE)

    /** Interval at which a VM writes its record, and at which it reads all records. */
    val recordInterval: Duration =
        RECORD_INTERVAL * (liveVms.toDouble() / SMALL_RECORD_FLEET).coerceIn(1.0, MAX_SCALE)

    /** Long-poll timeout of a watch. */
    val watchTimeout: Duration = WATCH_TIMEOUT * scale.coerceAtMost(MAX_WATCH_SCALE)

    /**
     * Delay before reading a change, so that changes in quick succession are read with one call. It grows with the
     * square of the scale because both the VMs that read and the servers that change grow with the deployment.
     */
    val changeBatchDelay: Duration = CHANGE_BATCH_DELAY * scale * scale

    /** Time over which the listings of a large fleet are spread after the store was restored from an older copy. */
    val listingSpread: Duration = LISTING_SPREAD * scale

    /** Interval of load reports to other VMs. */
    val loadInterval: Duration = LOAD_INTERVAL * scale

    /** Interval at which the active configuration version is announced to some other VMs. */
    val announceInterval: Duration = ANNOUNCE_INTERVAL * scale

    companion object {
        /**
         * Half of the time in which a burst fills the engines' queues (one second on the busiest days of the replayed
         * traffic).
         */
        val LOAD_INTERVAL: Duration = 500.milliseconds

        /** Allows several announcements within the time limit for activating a configuration. */
        val ANNOUNCE_INTERVAL: Duration = 500.milliseconds

        /** Fleet size whose record writes use a twentieth of the write rate limit of the smallest deployment. */
        const val SMALL_FLEET = 35

        /** Fleet size up to which the records of all VMs are a small part of the billed calls. */
        const val SMALL_RECORD_FLEET = 12

        /**
         * Limited so that every VM writes a record between the end of a usage window and the time its report is due.
         */
        const val MAX_SCALE = 2.5

        /**
         * A stalled watch must be detected, and the missed changes read, within the platform's stabilisation time plus
         * the permitted delay.
         */
        const val MAX_WATCH_SCALE = 2.0

        /** Bounds the usage that is lost with a killed VM to one interval. */
        val RECORD_INTERVAL: Duration = 2.seconds

        /** Short enough to detect a stalled connection within the time limit for activating a configuration. */
        val WATCH_TIMEOUT: Duration = 2.5.seconds

        /** With the scale, 400 VMs that list 12,000 servers in pages of 500 stay below 4,000 calls a second. */
        val LISTING_SPREAD: Duration = 1.seconds

        /** Servers of a failure domain are reclaimed, and start, within some tens of milliseconds of each other. */
        val CHANGE_BATCH_DELAY: Duration = 100.milliseconds
    }
}
