package io.tarragonport.core.gateway.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How often a VM calls the store, by the number of VMs that share its rates.
 *
 * The store's rates grow more slowly than the fleet, and each call is paid for. The times are as short as a small fleet
 * can afford and stretch up to [MOST_STRETCH] times.
 */
data class FleetIntervals(
    val liveVms: Int,
) {
    private val stretch = (liveVms.toDouble() / SMALL_FLEET).coerceIn(1.0, MOST_STRETCH)

    /** Time between two records of a VM, and between two readings of all records. */
    val recordInterval: Duration = RECORD_INTERVAL * stretch

    /** Waiting time of a watch. */
    val watchWait: Duration = WATCH_WAIT * stretch.coerceAtMost(MOST_WATCH_STRETCH)

    /**
     * Pause after changes, so that changes that come together cost one call. The VMs that read a change and the servers
     * that change both grow with the deployment.
     */
    val changeBatchDelay: Duration = GATHER_CHANGES * stretch * stretch

    /** Time between two reports of the own load to other VMs. */
    val loadInterval: Duration = LOAD_INTERVAL * stretch

    /** Time between two announcements of what is in force to some other VMs. */
    val announceInterval: Duration = ANNOUNCE_INTERVAL * stretch

    companion object {
        /** Half of the time in which a burst fills the engines' queues (a second, in the heaviest days played). */
        val LOAD_INTERVAL: Duration = 500.milliseconds

        /** Several announcements within the time in which a configuration has to be in force. */
        val ANNOUNCE_INTERVAL: Duration = 500.milliseconds

        /** VMs that can write every [RECORD_INTERVAL] within a twentieth of the smallest deployment's rate of writes. */
        const val SMALL_FLEET = 35

        /** A record has to arrive between the end of a usage window and the time when its report is due. */
        const val MOST_STRETCH = 2.5

        /** A silent watch must be found, and its changes be made up for, within the platform's stable time and a bound. */
        const val MOST_WATCH_STRETCH = 2.0

        /** Usage that a killed VM loses is at most that of one interval. */
        val RECORD_INTERVAL: Duration = 2.seconds

        /** Short enough to notice a silent connection within a configuration's time limit. */
        val WATCH_WAIT: Duration = 2.5.seconds

        /** Servers of a failure domain are taken away, and start, within some tens of milliseconds of each other. */
        val GATHER_CHANGES: Duration = 100.milliseconds
    }
}
