package io.tarragonport.core.gateway.attempt

import io.tarragonport.api.gateway.GatewayRoute
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides whether a request is sent to another backend server after an attempt without a usable answer.
 *
 * A request that may not be repeated goes on only if it cannot have run. Each further server that may receive it draws
 * on the retry budget, which is asked last so that nothing is taken from it in vain.
 */
class AttemptPolicy(
    private val takeFromBudget: () -> Boolean,
) {
    /** Whether another server gets the request, with the time [left] for it. */
    fun mayRetry(
        route: GatewayRoute,
        history: AttemptHistory,
        outcome: AttemptOutcome,
        left: Duration,
    ): Boolean =
        when {
            left < LEAST_TIME -> false
            history.sent + history.unconnected >= MOST_SERVERS -> false
            outcome.mayHaveExecuted && !route.repeatability.repeatable -> false
            outcome.mayHaveExecuted && history.mayHaveExecuted >= route.maximumAttempts -> false
            history.sent == 0 -> true
            else -> takeFromBudget()
        }

    companion object {
        /** A server needs at least a connection and a step of its batch to say anything. */
        val LEAST_TIME: Duration = 30.milliseconds

        /** Servers asked for one request, those that could not be reached included. */
        const val MOST_SERVERS = 4
    }
}
