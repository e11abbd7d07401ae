package io.tarragonport.daemon.gateway.ingress

/** Why this process closes a caller's connection. */
internal enum class CloseReason {
    /** The connection had no request for the idle timeout, or the process is shutting down. */
    IDLE,

    /** The last response announced the close. */
    RESPONSE_COMPLETE,
}
