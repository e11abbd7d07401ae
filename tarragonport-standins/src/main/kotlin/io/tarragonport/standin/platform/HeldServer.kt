package io.tarragonport.standin.platform

import io.tarragonport.api.platform.InventoryServer
import io.tarragonport.api.platform.InventoryServerState
import kotlin.time.ComparableTimeMark

/**
 * A server with the times of its changes, from which the inventory of any earlier moment can be computed.
 *
 * [startedFrom] is the spare address that it occupies, null for a server that was there from the beginning.
 */
internal class HeldServer(
    private val server: InventoryServer,
    private val listedAt: ComparableTimeMark,
    private val liveAt: ComparableTimeMark,
    val startedFrom: SpareServer? = null,
) {
    private var noticeAt: ComparableTimeMark? = null
    private var goneAt: ComparableTimeMark? = null

    val id get() = server.id
    val cheap get() = server.cheap
    val failureDomain get() = server.failureDomain

    fun present(at: ComparableTimeMark): Boolean = listedAt <= at && !passed(goneAt, at)

    fun giveNotice(at: ComparableTimeMark) {
        if (noticeAt == null) {
            noticeAt = at
        }
    }

    fun endAt(at: ComparableTimeMark) {
        val known = goneAt
        if (known == null || at < known) {
            goneAt = at
        }
    }

    /** The inventory line as of [at]; null if the server is not in the inventory then. */
    fun listing(at: ComparableTimeMark): InventoryServer? {
        val state =
            when {
                passed(noticeAt, at) -> InventoryServerState.LEAVING
                liveAt <= at -> InventoryServerState.LIVE
                else -> InventoryServerState.STARTING
            }
        val remaining = goneAt?.takeIf { state == InventoryServerState.LEAVING }?.let { (it - at).inWholeMilliseconds }
        return server.copy(state = state, leavesInMs = remaining).takeIf { present(at) }
    }

    private fun passed(
        mark: ComparableTimeMark?,
        at: ComparableTimeMark,
    ): Boolean = mark != null && mark <= at
}
