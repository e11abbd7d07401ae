package io.tarragonport.daemon.dispatch

import io.tarragonport.api.error.Refusal

/** Result of a request after its last attempt; [attempts] is the number of attempts. */
sealed interface RunResult {
    val attempts: Int

    /** The complete response was received. */
    data class Completed(
        override val attempts: Int,
    ) : RunResult

    /** The request ended with an error. */
    data class Ended(
        val refusal: Refusal,
        override val attempts: Int,
    ) : RunResult
}
