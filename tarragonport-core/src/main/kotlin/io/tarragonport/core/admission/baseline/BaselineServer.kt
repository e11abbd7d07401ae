package io.tarragonport.core.admission.baseline

import io.tarragonport.core.admission.ServerStatus

/**
 * Slots of one server in a baseline.
 *
 * [position] is the index in the server list. [lastFreed] is the sequence number of the last release; the lower it is,
 * the longer a slot has been free.
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
