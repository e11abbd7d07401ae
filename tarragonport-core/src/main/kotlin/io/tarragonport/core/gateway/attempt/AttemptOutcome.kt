package io.tarragonport.core.gateway.attempt

/** How sending a request to a backend server ended without an answer that can be passed on. */
enum class AttemptOutcome(
    val mayHaveRun: Boolean,
) {
    /** No connection could be opened, so no byte was sent. */
    NOT_CONNECTED(mayHaveRun = false),

    /** The server states that it did not run the request. */
    NOT_RUN(mayHaveRun = false),

    /** The connection broke or brought something that is not the answer to this request. */
    BROKEN(mayHaveRun = true),

    /** The server did not answer in time. */
    SILENT(mayHaveRun = true),

    /** The server answered with a failure of its own. */
    FAILED(mayHaveRun = true),
}
