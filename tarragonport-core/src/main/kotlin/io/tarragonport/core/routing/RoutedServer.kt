package io.tarragonport.core.routing

import io.tarragonport.core.admission.ServerStatus
import io.tarragonport.core.health.ServerHealth

/**
 * One server as this VM sees it.
 *
 * [ownSlots] is this VM's part of the server's slots, [longSlots] the part of it that classes with long output may
 * hold.
 */
internal class RoutedServer(
    var status: ServerStatus,
    var ownSlots: Int,
) {
    val hash: Long = RendezvousHash.of(status.id.value)
    val load = ServerLoadEstimate()
    val cache = ServerCache()
    val health = ServerHealth()
    var longRunning: Int = 0
    var suspectsRunning: Int = 0
    var draining: Boolean = false

    val leaving: Boolean
        get() = status.leaving || draining

    val longSlots: Int
        get() = (ownSlots * LONG_SLOT_SHARE).toInt().coerceAtLeast(1)

    companion object {
        /** Classes with long output hold at most this share of the slots, so that lookups find a free one. */
        const val LONG_SLOT_SHARE = 0.7
    }
}
