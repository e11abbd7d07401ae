package io.tarragonport.core.gateway.waiting

import io.tarragonport.api.gateway.GatewayRoute
import io.tarragonport.api.id.ServiceId
import kotlin.time.Duration

/**
 * Limits the time that the prompts ahead of a request may take at the engine to which it is sent.
 *
 * An engine processes prompts in the order in which it admitted them, so a more urgent request that comes later waits
 * for all of them. A request therefore adds to the prompts at an engine only while they leave the most urgent of the
 * routes above its own enough of their objective. Requests of the first rank may use their own objective. The limit
 * grows with the time that a request has waited, so that none waits for ever.
 */
object WaitLimits {
    /** Part of a more urgent route's objective that the prompts of less urgent requests may take. */
    private const val URGENT_SHARE = 0.5

    /**
     * The limit for a request of [route] with [priority] on [service] that has [waited]; [sameEngines] tells whether
     * the requests of a route use the same engines.
     */
    fun longestWait(
        route: GatewayRoute,
        priority: Int,
        service: ServiceId,
        waited: Duration,
        routes: Collection<GatewayRoute>,
        sameEngines: (GatewayRoute) -> Boolean,
    ): Duration {
        val urgent =
            routes
                .filter { other -> other.priority < priority && other.services.any { it.service == service } }
                .filter(sameEngines)
                .minOfOrNull { it.latencyObjective }
        return minOf(urgent?.let { it * URGENT_SHARE } ?: route.latencyObjective, route.latencyObjective) + waited
    }
}
