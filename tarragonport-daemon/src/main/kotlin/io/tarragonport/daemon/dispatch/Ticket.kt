package io.tarragonport.daemon.dispatch

import io.tarragonport.api.error.Refusal
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.core.admission.PendingRequest
import kotlinx.coroutines.channels.Channel

/**
 * Handle of one request submitted to a [Dispatcher]; [signals] delivers the decisions about it in order.
 *
 * The dispatcher changes [request], [state] and [server] under its lock.
 */
class Ticket internal constructor(
    request: PendingRequest,
) {
    val signals = Channel<RunSignal>(Channel.UNLIMITED)

    /** The request as last submitted. */
    @Volatile
    var request: PendingRequest = request
        internal set

    @Volatile
    internal var state = TicketState.NEW

    /** The server on which the request runs. */
    @Volatile
    var server: BackendServerId? = null
        internal set

    /** Set when the request is aborted independently of the policy. */
    @Volatile
    var cut: Refusal? = null
        internal set
}
