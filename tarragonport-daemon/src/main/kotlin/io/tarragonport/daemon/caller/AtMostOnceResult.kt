package io.tarragonport.daemon.caller

import arrow.core.Either
import io.tarragonport.api.error.Refusal
import io.tarragonport.daemon.intent.RecordedAnswer

/** Response to a request that must not be repeated; [ranNow] is false if it was recorded earlier or nothing ran. */
class AtMostOnceResult(
    val answer: Either<Refusal, RecordedAnswer>,
    val ranNow: Boolean,
)
