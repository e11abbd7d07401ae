package io.tarragonport.api.gateway

/** What a route allows to be repeated after a backend server may have begun to run a request. */
enum class Repeatability {
    /** The request may run any number of times. */
    IDEMPOTENT,

    /** The request runs at most once. */
    AT_MOST_ONCE,

    /** An event stream that runs at most once. */
    STREAM,

    /** An event stream that another backend server can continue after the last event seen. */
    RESUMABLE_STREAM,
    ;

    /** Whether the answer is a series of events. */
    val streams: Boolean get() = this == STREAM || this == RESUMABLE_STREAM

    /** Whether a request may be sent again although it may have run. */
    val repeatable: Boolean get() = this == IDEMPOTENT || this == RESUMABLE_STREAM
}
