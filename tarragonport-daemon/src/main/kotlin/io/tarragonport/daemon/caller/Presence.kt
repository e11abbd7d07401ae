package io.tarragonport.daemon.caller

import io.tarragonport.daemon.dispatch.Dispatcher
import io.tarragonport.daemon.dispatch.Ticket

/**
 * Connects a request that runs apart from its caller's connection with the presence of that caller: a request that
 * still waits when the caller leaves is withdrawn, one that may have been sent runs on.
 */
class Presence(
    private val dispatcher: Dispatcher,
) {
    private var ticket: Ticket? = null

    /** True after the caller left. */
    @get:Synchronized
    var gone = false
        private set

    /** The caller left. */
    @Synchronized
    fun leave() {
        gone = true
        ticket?.let { dispatcher.cutIfWaiting(it, RequestErrors.callerDisconnected) }
    }

    /** The request waits or runs as [ticket]. */
    @Synchronized
    fun queued(ticket: Ticket) {
        this.ticket = ticket
        if (gone) dispatcher.cutIfWaiting(ticket, RequestErrors.callerDisconnected)
    }
}
