package io.tarragonport.daemon.caller

/** Decision of a [LimitGate]. */
sealed interface LimitAnswer {
    /** The request is within its limits. */
    data object Granted : LimitAnswer

    /** A limit, named in [message], is exhausted. */
    data class Exceeded(
        val message: String,
        val retryAfterSeconds: Int,
    ) : LimitAnswer
}
