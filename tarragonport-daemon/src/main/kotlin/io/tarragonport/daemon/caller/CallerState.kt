package io.tarragonport.daemon.caller

import io.tarragonport.daemon.dispatch.Dispatcher
import io.tarragonport.daemon.dispatch.RequestHandle

/**
 * Tracks whether the caller of a request that runs independently of its connection is still connected: when the caller
 * disconnects, a request that is still queued is withdrawn, and one that may have been sent continues.
 */
class CallerState(
    private val dispatcher: Dispatcher,
) {
    private var handle: RequestHandle? = null

    /** True after the caller disconnected. */
    @get:Synchronized
    var disconnected = false
        private set

    /** Reports that the caller disconnected. */
    @Synchronized
    fun disconnect() {
        disconnected = true
        handle?.let { dispatcher.abortIfWaiting(it, RequestErrors.callerDisconnected) }
    }

    /** Sets the [handle] under which the request was submitted. */
    @Synchronized
    fun submitted(handle: RequestHandle) {
        this.handle = handle
        if (disconnected) dispatcher.abortIfWaiting(handle, RequestErrors.callerDisconnected)
    }
}
