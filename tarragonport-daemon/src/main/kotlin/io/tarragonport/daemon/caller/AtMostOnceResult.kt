package io.tarragonport.daemon.caller

import arrow.core.Either
import io.tarragonport.api.error.RequestError
import io.tarragonport.daemon.intent.RecordedResponse

/** Answer to a request that may not be repeated; [ranNow] is false if it is recorded or nothing ran. */
class AtMostOnceResult(
    val answer: Either<RequestError, RecordedResponse>,
    val ranNow: Boolean,
)
