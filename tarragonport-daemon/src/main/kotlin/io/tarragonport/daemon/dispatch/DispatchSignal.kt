package io.tarragonport.daemon.dispatch

import io.tarragonport.api.error.RequestError
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.RequestId

/** Signal of the dispatcher to the coroutine that executes one request. */
sealed interface DispatchSignal {
    /** Run the request on [server] at [address]. */
    data class Start(
        val server: BackendServerId,
        val address: String,
    ) : DispatchSignal

    /** End the request with [error]: refused by the policy, or aborted because its key was withdrawn. */
    data class End(
        val error: RequestError,
    ) : DispatchSignal

    /**
     * Pause the stream in favour of [beneficiary]; if that is the stream itself, it migrates to another server. [order]
     * numbers the preemptions in the order of the policy's decisions.
     */
    data class Preempt(
        val beneficiary: RequestId,
        val order: Long = 0,
    ) : DispatchSignal
}
