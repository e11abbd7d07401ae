package io.tarragonport.daemon.dispatch

/** State of the server after a failed attempt. */
internal enum class ServerLoss {
    /** The server still responds. */
    NONE,

    /** The server terminated after its leave was announced. */
    LEFT,

    /** The server terminated without notice, which counts against the requests in flight on it. */
    CRASHED,
}
