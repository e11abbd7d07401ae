package io.tarragonport.daemon.dispatch

import io.tarragonport.api.error.RequestError
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.core.admission.PendingRequest
import kotlinx.coroutines.channels.Channel

/**
 * One request in the hands of a [Dispatcher]; [signals] delivers its decisions in order.
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

    /** The server that runs the request. */
    @Volatile
    var server: BackendServerId? = null
        internal set

    /** Set when the request must end whatever the policy decides. */
    @Volatile
    var cut: RequestError? = null
        internal set
}
