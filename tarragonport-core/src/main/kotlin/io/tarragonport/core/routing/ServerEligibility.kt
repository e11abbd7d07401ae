package io.tarragonport.core.routing

import io.tarragonport.core.health.StragglerDetector

/** Determines which servers of a pool may be sent a request now. */
internal class ServerEligibility(
    private val detector: StragglerDetector,
) {
    /**
     * [load] is the estimated number of requests on [server]. [avoid] excludes servers on which the request has failed.
     * [use] determines the slots that the request may use.
     */
    fun allows(
        pool: ServerPool,
        server: RoutedServer,
        route: RouteRequest,
        load: Double,
        avoid: Boolean,
        use: SlotUse,
    ): Boolean =
        !server.leaving &&
            (!avoid || server.status.id !in route.request.avoid) &&
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
        if (server.load.own >= server.ownSlots && load + 1.0 > slots * BORROWING_LOAD_SHARE) return false
        if (use != SlotUse.NORMAL) return load + 1.0 <= slots
        return if (route.long) hasRoomForLong(pool, load, slots) else hasRoomForShort(route, load, slots)
    }

    /** Short requests may wait briefly in the engine's own queue, where they precede lower tiers. */
    private fun hasRoomForShort(
        route: RouteRequest,
        load: Double,
        slots: Int,
    ): Boolean {
        val queued = if (route.request.requestClass.tier.value == 1) TIER_ONE_QUEUED else SHORT_QUEUED
        return load + 1.0 <= slots + queued
    }

    private fun hasRoomForLong(
        pool: ServerPool,
        load: Double,
        slots: Int,
    ): Boolean = pool.running < pool.slotCap || load + 1.0 <= slots

    private fun hasLongSlot(
        pool: ServerPool,
        server: RoutedServer,
        load: Double,
    ): Boolean {
        val slots = server.status.slots
        if (load + 1.0 <= slots * BORROWING_LOAD_SHARE) return true
        val withinShare = server.longRunning < server.longSlots && pool.longRunning < pool.longCap
        return withinShare && load + 1.0 <= slots - (slots * SHORT_HEADROOM).toInt()
    }

    private companion object {
        /**
         * Below this share of its slots a server counts as idle, and a VM may use more than its own part. The margin
         * covers what seven VMs can send between two load reports.
         */
        const val BORROWING_LOAD_SHARE = 0.5

        /** Requests that may wait in an engine's queue; few, because the engine determines their order. */
        const val TIER_ONE_QUEUED = 2.0
        const val SHORT_QUEUED = 1.0

        /**
         * Share of a server's slots, rounded down, that long requests leave free for short ones of any VM. Two of eight
         * slots gave more chats in time at every load than one of eight.
         */
        const val SHORT_HEADROOM = 0.25
    }
}
