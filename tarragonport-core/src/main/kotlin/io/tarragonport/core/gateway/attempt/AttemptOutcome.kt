package io.tarragonport.core.gateway.attempt

/** Reason why an attempt at a backend server produced no response that can be forwarded to the client. */
enum class AttemptOutcome(
    val mayHaveRun: Boolean,
) {
    /** No connection could be opened, so no byte was sent. */
    NOT_CONNECTED(mayHaveRun = false),

    /** The server reported that it did not execute the request. */
    NOT_RUN(mayHaveRun = false),

    /** The connection failed, or the data received is not a valid response to this request. */
    BROKEN(mayHaveRun = true),

    /** The server did not respond before the timeout. */
    SILENT(mayHaveRun = true),

    /** The server responded with a server error. */
    FAILED(mayHaveRun = true),
}
