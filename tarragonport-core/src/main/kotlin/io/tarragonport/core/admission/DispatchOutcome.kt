package io.tarragonport.core.admission

/** How a run on a backend server ended, as far as scheduling and routing learn from it. */
enum class DispatchOutcome {
    /** The whole answer arrived. */
    COMPLETED,

    /** Cancelled by the caller, by preemption or by a withdrawn key. */
    CANCELLED,

    /** The server refused the request before running it. */
    REJECTED,

    /** The server broke off or timed out. */
    FAILED,
}
