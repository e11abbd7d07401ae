package io.tarragonport.core.gateway.attempt

import io.tarragonport.api.gateway.GatewayRoute
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides whether a request is retried on another backend server after a failed attempt.
 *
 * A non-repeatable request is retried only if no server can have executed it. Once the request has been sent to a
 * server, each further attempt consumes retry budget. The budget is checked last, so that a retry rejected for another
 * reason consumes none.
 */
class AttemptPolicy(
    private val tryTakeFromBudget: () -> Boolean,
) {
    /** Whether the request may be retried on another server in the [remaining] time. */
    fun mayRetry(
        route: GatewayRoute,
        history: AttemptHistory,
        outcome: AttemptOutcome,
        remaining: Duration,
    ): Boolean =
        when {
            remaining < MIN_REMAINING -> false
            history.sent + history.notConnected >= MAX_SERVERS -> false
            outcome.mayHaveExecuted && !route.repeatability.repeatable -> false
            outcome.mayHaveExecuted && history.mayHaveExecuted >= route.maximumAttempts -> false
            history.sent == 0 -> true
            else -> tryTakeFromBudget()
        }

    companion object {
        /** Shortest time in which a server can respond: a connection setup and one batch step. */
        val MIN_REMAINING: Duration = 30.milliseconds

        /** Limit of servers tried for one request, including those that could not be reached. */
        const val MAX_SERVERS = 4
    }
}
