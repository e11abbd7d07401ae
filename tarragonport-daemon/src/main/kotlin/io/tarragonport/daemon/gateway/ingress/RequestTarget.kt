package io.tarragonport.daemon.gateway.ingress

/** What handles a request after it was read; all calls come from the traffic thread. */
interface RequestTarget {
    /** The caller closed its connection or it broke. */
    fun callerDisconnected()

    /** The caller takes more bytes again. */
    fun writable()
}
