package io.tarragonport.core.admission

/** How an attempt on a backend server ended, as distinguished by scheduling and routing. */
enum class DispatchOutcome {
    /** The complete response arrived. */
    COMPLETED,

    /** Cancelled by the caller, by a preemption or because the key was withdrawn. */
    CANCELLED,

    /** The server refused the request before running it. */
    REJECTED,

    /** The connection broke or the server timed out. */
    FAILED,
}
