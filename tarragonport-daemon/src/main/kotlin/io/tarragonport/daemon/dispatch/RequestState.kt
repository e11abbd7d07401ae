package io.tarragonport.daemon.dispatch

/** Lifecycle state of a request in the dispatcher. */
enum class RequestState {
    NEW,
    WAITING,
    RUNNING,
    ENDED,
}
