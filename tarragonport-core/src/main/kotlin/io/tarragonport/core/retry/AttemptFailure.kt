package io.tarragonport.core.retry

/** How an attempt on a backend server failed, as far as retries depend on it. */
enum class AttemptFailure {
    /** The connection could not be opened. */
    NOT_SENT,

    /** The server refused the request because it is draining. */
    DRAINING,

    /** The server is overloaded or had an internal error: status 429 or 5xx. */
    UNAVAILABLE,

    /** The server rejected the request as invalid: any other status. */
    REFUSED,

    /** The connection broke or timed out. */
    INTERRUPTED,

    /** The response had the id of another request, a missing token or wrong counts. */
    INCORRECT_ANSWER,
}
