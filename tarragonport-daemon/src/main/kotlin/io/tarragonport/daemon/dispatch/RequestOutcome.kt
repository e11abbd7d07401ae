package io.tarragonport.daemon.dispatch

import io.tarragonport.api.error.RequestError

/** Result of a request after its last attempt; [attempts] is the number of attempts. */
sealed interface RequestOutcome {
    val attempts: Int

    /** The complete response was received. */
    data class Completed(
        override val attempts: Int,
    ) : RequestOutcome

    /** The request ended with an error. */
    data class Ended(
        val error: RequestError,
        override val attempts: Int,
    ) : RequestOutcome
}
