package io.tarragonport.daemon.dispatch

import io.tarragonport.api.error.RequestError

/** How a request ended after all its runs; [attempts] counts the runs. */
sealed interface RequestOutcome {
    val attempts: Int

    /** The whole answer is held by the work. */
    data class Completed(
        override val attempts: Int,
    ) : RequestOutcome

    /** The request ended with an error. */
    data class Ended(
        val error: RequestError,
        override val attempts: Int,
    ) : RequestOutcome
}
