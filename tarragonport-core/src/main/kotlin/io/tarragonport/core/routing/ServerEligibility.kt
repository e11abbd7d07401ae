package io.tarragonport.core.routing

import io.tarragonport.core.health.StragglerDetector

/** Determines which servers of a pool may be sent a request now. */
internal class ServerEligibility(
    private val detector: StragglerDetector,
) {
    /**
     * Whether [route] may be sent to [server], on which [load] requests are estimated to be. [excludeFailed] excludes
     * servers on which the request has failed. [use] determines the slots that the request may use.
     */
    fun allows(
        pool: ServerPool,
        server: RoutedServer,
        route: RouteRequest,
        load: Double,
        excludeFailed: Boolean,
        use: SlotUse,
    ): Boolean =
        !server.leaving &&
            (!excludeFailed || server.status.id !in route.request.failedServers) &&
            isSuitable(server, route) &&
            hasSlot(pool, server, route, load, use)

    private fun isSuitable(
        server: RoutedServer,
        route: RouteRequest,
    ): Boolean {
        if (server.health.ejected &&
            !detector.mayProbe(server.health, route.request.requestClass.resumable)
        ) {
            return false
        }
        if (server.status.cheap && !route.request.requestClass.repeatable) return false
        return !route.suspect || server.suspectsRunning == 0
    }

    private fun hasSlot(
        pool: ServerPool,
        server: RoutedServer,
        route: RouteRequest,
        load: Double,
        use: SlotUse,
    ): Boolean {
        val slots = server.status.slots
        if (route.long && use != SlotUse.BELOW_FLOOR && !hasLongSlot(pool, server, load)) return false
        if (server.load.ownRequests >= server.ownSlots && load + 1.0 > slots * BORROWING_LOAD_SHARE) return false
        if (use != SlotUse.NORMAL) return load + 1.0 <= slots
        return if (route.long) hasRoomForLong(pool, load, slots) else hasRoomForShort(route, load, slots)
    }

    /** Short requests may wait briefly in the engine's own queue, where they precede lower tiers. */
    private fun hasRoomForShort(
        route: RouteRequest,
        load: Double,
        slots: Int,
    ): Boolean {
        val queued = if (route.request.requestClass.tier.value == 1) MAXIMUM_QUEUED_TIER_ONE else MAXIMUM_QUEUED_SHORT
        return load + 1.0 <= slots + queued
    }

    private fun hasRoomForLong(
        pool: ServerPool,
        load: Double,
        slots: Int,
    ): Boolean = pool.running < pool.requestCap || load + 1.0 <= slots

    private fun hasLongSlot(
        pool: ServerPool,
        server: RoutedServer,
        load: Double,
    ): Boolean {
        val slots = server.status.slots
        if (load + 1.0 <= slots * BORROWING_LOAD_SHARE) return true
        val withinShare = server.longRunning < server.longSlots && pool.longRunning < pool.longRequestCap
        return withinShare && load + 1.0 <= slots - (slots * SHORT_HEADROOM_SHARE).toInt()
    }

    private companion object {
        /**
         * A server of which at most this share of the slots is used counts as idle, and a VM may use more than its own
         * part of the slots. The margin covers what seven VMs can send between two load reports.
         */
        const val BORROWING_LOAD_SHARE = 0.5

        /** Requests that may wait in an engine's queue: only a few, because the engine determines their order. */
        const val MAXIMUM_QUEUED_TIER_ONE = 2.0
        const val MAXIMUM_QUEUED_SHORT = 1.0

        /**
         * Share of a server's slots, rounded down, that long requests leave free for short ones of any VM. Two of eight
         * slots gave more chats in time at every load than one of eight.
         */
        const val SHORT_HEADROOM_SHARE = 0.25
    }
}
