package io.tarragonport.daemon.dispatch

import io.tarragonport.api.backend.BackendFailure
import io.tarragonport.core.retry.AttemptFailure

/** Maps failures of the backend server client to the failure kinds that the retry policy distinguishes. */
object BackendFailures {
    private const val TOO_MANY_REQUESTS = 429
    private const val SERVER_ERROR = 500

    fun result(failure: BackendFailure): AttemptResult.Failed = AttemptResult.Failed(kind(failure), failure.toString())

    private fun kind(failure: BackendFailure): AttemptFailure =
        when (failure) {
            is BackendFailure.NotSent -> AttemptFailure.NOT_SENT
            is BackendFailure.Interrupted -> AttemptFailure.INTERRUPTED
            is BackendFailure.Rejected -> rejected(failure)
        }

    private fun rejected(failure: BackendFailure.Rejected): AttemptFailure =
        when {
            failure.draining -> AttemptFailure.DRAINING
            failure.status == TOO_MANY_REQUESTS || failure.status >= SERVER_ERROR -> AttemptFailure.UNAVAILABLE
            else -> AttemptFailure.REFUSED
        }
}
