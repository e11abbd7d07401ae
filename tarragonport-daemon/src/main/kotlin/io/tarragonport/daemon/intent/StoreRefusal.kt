package io.tarragonport.daemon.intent

import arrow.core.Either
import arrow.core.left
import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.error.ExecutionStatus
import io.tarragonport.api.error.RequestError

/** Refusal of a claim that could not be made durable: nothing of this request was sent. */
internal fun storeRefusal(): Either<RequestError, Nothing> =
    RequestError(
        kind = ErrorKind.STORE_UNAVAILABLE,
        message = "the idempotency key could not be recorded in time; the request was not sent",
        ran = ExecutionStatus.NO,
    ).left()

/** Refusal of a repeat whose recorded answer could not be read: the request ran before. */
internal fun answerRefusal(): Either<RequestError, Nothing> =
    RequestError(
        kind = ErrorKind.STORE_UNAVAILABLE,
        message = "the request ran before; its recorded answer could not be read",
        ran = ExecutionStatus.YES,
    ).left()
