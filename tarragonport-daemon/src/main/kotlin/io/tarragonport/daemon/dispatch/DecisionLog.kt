package io.tarragonport.daemon.dispatch

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.core.admission.DispatchDecision
import io.tarragonport.core.admission.PendingRequest

/** Records routing decisions and the outcomes of requests; safe to call from any thread. */
interface DecisionLog {
    /** Records a [decision] of the policy about [request]. */
    fun decided(
        request: PendingRequest,
        decision: DispatchDecision,
    )

    /** Records a failed attempt of [request] on [server]; [decision] is the reason of the retry decision. */
    fun failed(
        request: PendingRequest,
        server: BackendServerId,
        failure: String,
        decision: String,
    )

    /** Records that [server] crashed while [request] was in flight. */
    fun crashed(
        request: PendingRequest,
        server: BackendServerId,
    )

    /** Records that [request] ended with [outcome]. */
    fun ended(
        request: PendingRequest,
        outcome: String,
    )
}
