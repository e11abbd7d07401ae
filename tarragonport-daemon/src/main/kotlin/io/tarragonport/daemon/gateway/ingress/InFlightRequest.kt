package io.tarragonport.daemon.gateway.ingress

/**
 * A request being handled, which is notified of changes of its caller's connection; all calls come from the traffic
 * thread.
 */
interface InFlightRequest {
    /** The caller closed its connection, or the connection failed. */
    fun callerDisconnected()

    /** The process ends before the request is complete, so that it must get its response now. */
    fun processEnding()

    /** More bytes may be written to the caller again. */
    fun callerWritable()
}
