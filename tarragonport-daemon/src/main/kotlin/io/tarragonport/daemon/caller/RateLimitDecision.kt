package io.tarragonport.daemon.caller

/** Decision of a [RateLimiter]. */
sealed interface RateLimitDecision {
    /** The request is within its limits. */
    data object Granted : RateLimitDecision

    /** A limit, named in [message], is exhausted. */
    data class Exceeded(
        val message: String,
        val retryAfterSeconds: Int,
    ) : RateLimitDecision
}
