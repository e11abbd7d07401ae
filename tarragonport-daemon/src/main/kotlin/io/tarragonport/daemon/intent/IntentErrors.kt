package io.tarragonport.daemon.intent

import arrow.core.Either
import arrow.core.left
import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.error.ExecutionStatus
import io.tarragonport.api.error.RequestError

/** Error for a claim that could not be made durable: no byte of the request was sent. */
internal fun claimNotDurableError(): Either<RequestError, Nothing> =
    RequestError(
        kind = ErrorKind.STORE_UNAVAILABLE,
        message = "the idempotency key could not be recorded in time; the request was not sent",
        executionStatus = ExecutionStatus.NO,
    ).left()

/** Error for a repeated request whose recorded response could not be read: the request ran before. */
internal fun responseUnreadableError(): Either<RequestError, Nothing> =
    RequestError(
        kind = ErrorKind.STORE_UNAVAILABLE,
        message = "the request ran before; its recorded answer could not be read",
        executionStatus = ExecutionStatus.YES,
    ).left()
