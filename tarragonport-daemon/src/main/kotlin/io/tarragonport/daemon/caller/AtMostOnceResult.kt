package io.tarragonport.daemon.caller

import arrow.core.Either
import io.tarragonport.api.error.RequestError
import io.tarragonport.daemon.intent.RecordedResponse

/** Response to a request that must not be repeated; [executedNow] is false if it was recorded before or nothing ran. */
class AtMostOnceResult(
    val answer: Either<RequestError, RecordedResponse>,
    val executedNow: Boolean,
)
