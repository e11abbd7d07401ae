package io.tarragonport.core.gateway.attempt

import io.tarragonport.api.id.BackendServerId

/** Backend servers that were tried for one request, with the number of attempts by outcome. */
class AttemptHistory {
    private val tried = mutableSetOf<BackendServerId>()

    /** Number of servers to which the request was sent. */
    var sent = 0
        private set

    /** Number of servers to which no connection could be opened. */
    var notConnected = 0
        private set

    /** Number of servers that may have executed the request. */
    var mayHaveExecuted = 0
        private set

    /** Whether an attempt at [server] was already recorded. */
    fun contains(server: BackendServerId): Boolean = server in tried

    /** Records the end of an attempt at [server]. */
    fun record(
        server: BackendServerId,
        outcome: AttemptOutcome,
    ) {
        tried += server
        if (outcome == AttemptOutcome.NOT_CONNECTED) notConnected++ else sent++
        if (outcome.mayHaveExecuted) mayHaveExecuted++
    }
}
