package io.tarragonport.daemon.dispatch

/** Provides the decisions about recent requests of this VM to `explain`. */
interface TraceSource {
    /** The trace of the request with [requestId], which this VM or the caller chose; null if unknown or evicted. */
    fun trace(requestId: String): RequestTrace?
}
