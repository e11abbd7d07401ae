package io.tarragonport.daemon.dispatch

import io.tarragonport.api.error.RequestError
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.core.admission.PendingRequest
import kotlinx.coroutines.channels.Channel

/**
 * Handle of one request submitted to a [Dispatcher]; [signals] delivers the decisions about it in order.
 *
 * The dispatcher changes [request], [state] and [server] under its lock.
 */
class RequestHandle internal constructor(
    request: PendingRequest,
) {
    val signals = Channel<DispatchSignal>(Channel.UNLIMITED)

    /** The request as last submitted. */
    @Volatile
    var request: PendingRequest = request
        internal set

    @Volatile
    internal var state = RequestState.NEW

    /** The server on which the request runs; null while it waits. */
    @Volatile
    var server: BackendServerId? = null
        internal set

    /** Set when the request is aborted independently of the policy. */
    @Volatile
    var abortError: RequestError? = null
        internal set
}
