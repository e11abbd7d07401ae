package io.tarragonport.daemon.caller

import io.tarragonport.daemon.dispatch.Dispatcher
import io.tarragonport.daemon.dispatch.Ticket

/**
 * Tracks whether the caller of a request that runs independently of its connection is still connected: when the caller
 * disconnects, a request that is still queued is withdrawn, and one that may have been sent continues.
 */
class Presence(
    private val dispatcher: Dispatcher,
) {
    private var ticket: Ticket? = null

    /** True after the caller disconnected. */
    @get:Synchronized
    var gone = false
        private set

    /** Reports that the caller disconnected. */
    @Synchronized
    fun leave() {
        gone = true
        ticket?.let { dispatcher.cutIfWaiting(it, Refusals.callerGone) }
    }

    /** Sets the [ticket] under which the request was submitted. */
    @Synchronized
    fun queued(ticket: Ticket) {
        this.ticket = ticket
        if (gone) dispatcher.cutIfWaiting(ticket, Refusals.callerGone)
    }
}
