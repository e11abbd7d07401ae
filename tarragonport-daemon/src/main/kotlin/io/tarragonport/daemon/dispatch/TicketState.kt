package io.tarragonport.daemon.dispatch

/** Lifecycle state of a request in the dispatcher. */
enum class TicketState {
    NEW,
    WAITING,
    RUNNING,
    ENDED,
}
