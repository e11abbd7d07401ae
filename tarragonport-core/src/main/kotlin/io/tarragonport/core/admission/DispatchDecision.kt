package io.tarragonport.core.admission

import io.tarragonport.api.error.RequestError
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.RequestId

/** An action that a [DispatchPolicy] returns for its caller to carry out. */
sealed interface DispatchDecision {
    val request: RequestId

    /** Send the request to [server]; [candidates] and [reason] are logged. */
    data class Start(
        override val request: RequestId,
        val server: BackendServerId,
        val candidates: List<BackendServerId>,
        val reason: String,
    ) : DispatchDecision

    /** Refuse a waiting request, which is not sent; [error] holds the reason. */
    data class Refuse(
        override val request: RequestId,
        val error: RequestError,
    ) : DispatchDecision

    /**
     * Preempt a running request in favour of [beneficiary]: cancel it at its server and submit it again with its resume
     * position. The beneficiary is the request itself if it is moved to another server or can no longer meet its
     * deadline.
     */
    data class Preempt(
        override val request: RequestId,
        val server: BackendServerId,
        val beneficiary: RequestId,
    ) : DispatchDecision
}
