package io.tarragonport.core.retry

/** How a run on a backend server failed, as far as retries depend on it. */
enum class AttemptFailure {
    /** The connection could not be opened. */
    NOT_SENT,

    /** The server refused because it is leaving. */
    DRAINING,

    /** The server is overloaded or failed inside: status 429 or 5xx. */
    UNAVAILABLE,

    /** The server found the request itself wrong: any other status. */
    REFUSED,

    /** The connection broke or timed out. */
    INTERRUPTED,

    /** The answer had another request's id, a missing token or wrong counts. */
    INCORRECT_ANSWER,
}
