package io.tarragonport.daemon.caller

import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.error.ExecutionStatus
import io.tarragonport.api.error.RequestError

/** Errors returned before anything is sent to a backend server; `ran` is `no` in all but [outcomeUnknown]. */
internal object RequestErrors {
    private const val AUTHORIZATION = "Authorization"

    val notConfigured = notExecuted(ErrorKind.NOT_CONFIGURED, "this VM has no configuration yet")
    val isolated = notExecuted(ErrorKind.ISOLATED, "this VM cannot know whether keys were withdrawn")
    val draining = notExecuted(ErrorKind.DRAINING, "this VM is shutting down")
    val keyMissing = notExecuted(ErrorKind.KEY_MISSING, "a key is required", AUTHORIZATION)
    val keyHeaderRepeated = notExecuted(ErrorKind.INVALID_REQUEST, "the header is given more than once", AUTHORIZATION)
    val keyMalformed = notExecuted(ErrorKind.KEY_MISSING, "expected: Bearer KEY", AUTHORIZATION)
    val keyUnknown = notExecuted(ErrorKind.KEY_UNKNOWN, "the key is not known", AUTHORIZATION)
    val keyWithdrawn = notExecuted(ErrorKind.KEY_WITHDRAWN, "the key was withdrawn", AUTHORIZATION)
    val notAllowed = notExecuted(ErrorKind.NOT_ALLOWED, "no route allows this organisation and class here")
    val unknownPath = notExecuted(ErrorKind.UNKNOWN_PATH, "no such path", "path")
    val bodyTooLarge = notExecuted(ErrorKind.BODY_TOO_LARGE, "the body is too large", "body")
    val bodyIncomplete = notExecuted(ErrorKind.BODY_INCOMPLETE, "the body ended early", "body")
    val callerTooSlow = notExecuted(ErrorKind.CALLER_TOO_SLOW, "the body did not arrive in time", "body")
    val callerDisconnected = notExecuted(ErrorKind.BODY_INCOMPLETE, "the caller went away")
    val idempotencyKeyMissing =
        notExecuted(
            ErrorKind.IDEMPOTENCY_KEY_MISSING,
            "requests of this class need an idempotency key",
            CallerHeaders.IDEMPOTENCY_KEY,
        )
    val idempotencyKeyReused =
        notExecuted(
            ErrorKind.IDEMPOTENCY_KEY_REUSED,
            "the idempotency key was used with another body",
            CallerHeaders.IDEMPOTENCY_KEY,
        )
    val outcomeUnknown =
        RequestError(
            ErrorKind.OUTCOME_UNKNOWN,
            "a request with this idempotency key was started and its outcome is not known",
            ExecutionStatus.UNKNOWN,
            CallerHeaders.IDEMPOTENCY_KEY,
        )

    fun invalid(
        message: String,
        field: String,
    ): RequestError = notExecuted(ErrorKind.INVALID_REQUEST, message, field)

    fun keyInside(field: String): RequestError = invalid("contains the caller's key, which is not passed on", field)

    fun notExecuted(
        kind: ErrorKind,
        message: String,
        field: String? = null,
    ): RequestError = RequestError(kind, message, ExecutionStatus.NO, field)
}
