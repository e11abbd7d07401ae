package io.tarragonport.standin.platform

import io.tarragonport.api.platform.InventoryServer
import io.tarragonport.api.platform.InventoryServerState
import kotlin.time.ComparableTimeMark

/**
 * A server with the times of its state changes, from which its inventory entry at any earlier time can be computed.
 *
 * [startedFrom] is the spare that it occupies, null for a server of the initial inventory.
 */
internal class ServerHistory(
    private val server: InventoryServer,
    private val listedAt: ComparableTimeMark,
    private val liveAt: ComparableTimeMark,
    val startedFrom: SpareServer? = null,
) {
    private var announcedAt: ComparableTimeMark? = null
    private var removedAt: ComparableTimeMark? = null

    val id get() = server.id
    val cheap get() = server.cheap
    val failureDomain get() = server.failureDomain

    fun isListed(time: ComparableTimeMark): Boolean = listedAt <= time && !hasPassed(removedAt, time)

    fun announceRemoval(at: ComparableTimeMark) {
        if (announcedAt == null) {
            announcedAt = at
        }
    }

    fun removeAt(at: ComparableTimeMark) {
        val current = removedAt
        if (current == null || at < current) {
            removedAt = at
        }
    }

    /** The inventory entry at [time]; null if the server is not listed at that time. */
    fun entryAt(time: ComparableTimeMark): InventoryServer? {
        val state =
            when {
                hasPassed(announcedAt, time) -> InventoryServerState.LEAVING
                liveAt <= time -> InventoryServerState.LIVE
                else -> InventoryServerState.STARTING
            }
        val remaining =
            removedAt?.takeIf { state == InventoryServerState.LEAVING }?.let { (it - time).inWholeMilliseconds }
        return server.copy(state = state, leavesInMs = remaining).takeIf { isListed(time) }
    }

    private fun hasPassed(
        event: ComparableTimeMark?,
        time: ComparableTimeMark,
    ): Boolean = event != null && event <= time
}
