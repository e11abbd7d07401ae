package io.tarragonport.daemon.caller

import arrow.core.Either
import io.tarragonport.api.error.RequestError
import io.tarragonport.daemon.intent.RecordedResponse

/**
 * Response to a request that must not be repeated; [executedNow] is false if the response was recorded before or the
 * request was not executed.
 */
class AtMostOnceResult(
    val response: Either<RequestError, RecordedResponse>,
    val executedNow: Boolean,
)
