package io.tarragonport.api.gateway

/** Whether requests of a route may be repeated after a backend server may have started to run them. */
enum class Repeatability {
    /** The request may run any number of times. */
    IDEMPOTENT,

    /** The request runs at most once. */
    AT_MOST_ONCE,

    /** An event stream that runs at most once. */
    STREAM,

    /** An event stream that another backend server can resume after the last event received. */
    RESUMABLE_STREAM,
    ;

    /** Whether the response is a stream of events. */
    val streams: Boolean get() = this == STREAM || this == RESUMABLE_STREAM

    /** Whether a request may be sent again although it may have run. */
    val repeatable: Boolean get() = this == IDEMPOTENT || this == RESUMABLE_STREAM
}
