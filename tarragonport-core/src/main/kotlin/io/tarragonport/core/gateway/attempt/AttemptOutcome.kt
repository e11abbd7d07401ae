package io.tarragonport.core.gateway.attempt

/** How sending a request to a backend server ended without an answer that can be passed on. */
enum class AttemptOutcome(
    val mayHaveExecuted: Boolean,
) {
    /** No connection could be opened, so no byte was sent. */
    NOT_CONNECTED(mayHaveExecuted = false),

    /** The server states that it did not run the request. */
    NOT_RUN(mayHaveExecuted = false),

    /** The connection broke or brought something that is not the answer to this request. */
    BROKEN(mayHaveExecuted = true),

    /** The server did not answer in time. */
    SILENT(mayHaveExecuted = true),

    /** The server answered with a failure of its own. */
    FAILED(mayHaveExecuted = true),
}
