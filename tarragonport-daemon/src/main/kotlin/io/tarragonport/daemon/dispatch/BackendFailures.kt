package io.tarragonport.daemon.dispatch

import io.tarragonport.api.backend.BackendFailure
import io.tarragonport.core.retry.RunFailure

/** Maps failures of the backend server client to the failure kinds that the retry policy distinguishes. */
object BackendFailures {
    private const val TOO_MANY_REQUESTS = 429
    private const val SERVER_ERROR = 500

    fun result(failure: BackendFailure): AttemptResult.Failed = AttemptResult.Failed(kind(failure), failure.toString())

    private fun kind(failure: BackendFailure): RunFailure =
        when (failure) {
            is BackendFailure.NotSent -> RunFailure.NOT_SENT
            is BackendFailure.Interrupted -> RunFailure.INTERRUPTED
            is BackendFailure.Rejected -> rejected(failure)
        }

    private fun rejected(failure: BackendFailure.Rejected): RunFailure =
        when {
            failure.draining -> RunFailure.DRAINING
            failure.status == TOO_MANY_REQUESTS || failure.status >= SERVER_ERROR -> RunFailure.UNAVAILABLE
            else -> RunFailure.REFUSED
        }
}
