package io.tarragonport.daemon.gateway.exchange

import io.tarragonport.api.gateway.GatewayRoute
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Limits of one attempt.
 *
 * [responseTimeout] applies to the response or the first event, [eventTimeout] to each further event. They are null if
 * the request is not repeatable, because then the attempt must not be abandoned. [bodyBytes] limits a response that is
 * buffered until it is complete.
 */
internal data class AttemptLimits(
    val responseTimeout: Duration?,
    val eventTimeout: Duration?,
    val bodyBytes: Int = MAXIMUM_BODY_BYTES,
) {
    companion object {
        /** The limits for a request of [route] that has [remaining] time. */
        fun of(
            route: GatewayRoute,
            remaining: Duration,
        ): AttemptLimits {
            if (!route.repeatability.repeatable) return AttemptLimits(null, null)
            val first = maxOf(route.latencyObjective * RESPONSE_TIMEOUT_FACTOR, MINIMUM_TIMEOUT)
            val eventTimeout = route.maximumEventGap?.let { maxOf(it * EVENT_TIMEOUT_FACTOR, MINIMUM_TIMEOUT) }
            return AttemptLimits(first.takeIf { it < remaining * MAXIMUM_TIMEOUT_SHARE }, eventTimeout)
        }

        /** Responses of plain services are a few kilobytes long. */
        private const val MAXIMUM_BODY_BYTES = 8 * 1024 * 1024

        /** Timeout for the response or first event of a repeatable request, as a multiple of the latency objective. */
        private const val RESPONSE_TIMEOUT_FACTOR = 3

        /**
         * Timeout between events after which a stream is resumed on another server, as a multiple of the route's
         * maximum event gap.
         */
        private const val EVENT_TIMEOUT_FACTOR = 3
        private val MINIMUM_TIMEOUT: Duration = 800.milliseconds

        /**
         * A response timeout above this share of the remaining time is not set, because a retry after it could not
         * complete before the deadline.
         */
        private const val MAXIMUM_TIMEOUT_SHARE = 0.6
    }
}
