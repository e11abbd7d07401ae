package io.tarragonport.core.gateway.waiting

import io.tarragonport.api.gateway.GatewayRoute
import io.tarragonport.api.id.ServiceId
import io.tarragonport.core.gateway.balance.PromptProfile
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * The limits of [WaitLimits] for each route, worked out again after [LIFETIME], because which routes use the same
 * engines is known only once some of their prompts have been seen.
 */
class LongestWaits(
    private val clock: TimeSource.WithComparableMarks,
    private val prompts: PromptProfile,
) {
    private data class Key(
        val route: String,
        val priority: Int,
        val service: ServiceId,
    )

    private val limits = HashMap<Key, Duration>()
    private var workedOutAt: ComparableTimeMark? = null

    /** Forgets all limits, as the routes have changed. */
    fun clear() = limits.clear()

    /** The limit for a request of [route] with [priority] on [service] that has [waited]; [routes] are all routes. */
    fun of(
        route: GatewayRoute,
        priority: Int,
        service: ServiceId,
        waited: Duration,
        routes: Collection<GatewayRoute>,
    ): Duration {
        val now = clock.markNow()
        if (workedOutAt.let { it == null || now - it > LIFETIME }) {
            limits.clear()
            workedOutAt = now
        }
        val short = prompts.hasShortPrompts(service, route.name)
        val limit =
            limits.getOrPut(Key(route.name, priority, service)) {
                WaitLimits.longestWait(route, priority, service, Duration.ZERO, routes) {
                    prompts.hasShortPrompts(service, it.name) == short
                }
            }
        return limit + waited
    }

    companion object {
        /** A route's mean prompt length is known after a few requests. */
        val LIFETIME: Duration = 1.seconds
    }
}
