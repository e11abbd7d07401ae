package io.tarragonport.daemon.dispatch

import io.tarragonport.api.error.RequestError
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.RequestId

/** What the dispatcher tells the coroutine that carries one request. */
sealed interface RunSignal {
    /** Run the request on [server] at [address]. */
    data class Start(
        val server: BackendServerId,
        val address: String,
    ) : RunSignal

    /** End the request with [error]: refused by the policy, or cut because its key was withdrawn. */
    data class End(
        val error: RequestError,
    ) : RunSignal

    /**
     * Pause the stream in favour of [beneficiary]; in its own favour it moves to another server. [order] numbers the
     * pauses as the policy decided them.
     */
    data class Preempt(
        val beneficiary: RequestId,
        val order: Long = 0,
    ) : RunSignal
}
