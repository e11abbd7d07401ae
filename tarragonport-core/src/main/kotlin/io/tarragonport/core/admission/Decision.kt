package io.tarragonport.core.admission

import io.tarragonport.api.error.RequestError
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.RequestId

/** What the caller of a [DispatchPolicy] has to carry out. */
sealed interface Decision {
    /** The request this decision is about. */
    val request: RequestId

    /** Send the request to [server]; [candidates] and [reason] go to the log. */
    data class Start(
        override val request: RequestId,
        val server: BackendServerId,
        val candidates: List<BackendServerId>,
        val reason: String,
    ) : Decision

    /** Refuse a waiting request that has not been sent by this decision; [error] says why. */
    data class Refuse(
        override val request: RequestId,
        val error: RequestError,
    ) : Decision

    /**
     * Pause a running request in favour of [beneficiary]: cancel it at its server and submit it again with its resume
     * position.
     */
    data class Preempt(
        override val request: RequestId,
        val server: BackendServerId,
        val beneficiary: RequestId,
    ) : Decision
}
