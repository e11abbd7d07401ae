package io.tarragonport.daemon.caller

/** Answer of a [RateLimiter]. */
sealed interface RateLimitDecision {
    /** The request may go on. */
    data object Granted : RateLimitDecision

    /** A limit is used up; [message] names it. */
    data class Exceeded(
        val message: String,
        val retryAfterSeconds: Int,
    ) : RateLimitDecision
}
