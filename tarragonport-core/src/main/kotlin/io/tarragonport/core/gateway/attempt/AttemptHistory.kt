package io.tarragonport.core.gateway.attempt

import io.tarragonport.api.id.BackendServerId

/** The servers that one request was given to. */
class AttemptHistory {
    private val tried = mutableSetOf<BackendServerId>()

    /** Servers to which the request was sent. */
    var sent = 0
        private set

    /** Servers that could not be reached. */
    var unconnected = 0
        private set

    /** Servers that may have run the request. */
    var mayHaveExecuted = 0
        private set

    /** Whether [server] was tried before. */
    fun contains(server: BackendServerId): Boolean = server in tried

    /** Records the end of an attempt at [server]. */
    fun record(
        server: BackendServerId,
        outcome: AttemptOutcome,
    ) {
        tried += server
        if (outcome == AttemptOutcome.NOT_CONNECTED) unconnected++ else sent++
        if (outcome.mayHaveExecuted) mayHaveExecuted++
    }
}
