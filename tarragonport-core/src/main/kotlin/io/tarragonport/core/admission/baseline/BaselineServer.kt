package io.tarragonport.core.admission.baseline

import io.tarragonport.core.admission.ServerStatus

/**
 * Slots of one server in a baseline.
 *
 * [ownSlots] is this VM's part of the server's slots, [position] the index in the server list. [lastFreed] is the
 * sequence number of the last release of a slot; the lower it is, the longer ago that was.
 */
internal class BaselineServer(
    var status: ServerStatus,
    var ownSlots: Int,
    var position: Int,
) {
    var outstanding: Int = 0
    var lastFreed: Long = 0

    val usable: Boolean
        get() = !status.leaving && outstanding < ownSlots
}
