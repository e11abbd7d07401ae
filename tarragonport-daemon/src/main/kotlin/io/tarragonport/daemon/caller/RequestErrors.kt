package io.tarragonport.daemon.caller

import io.tarragonport.api.error.ErrorKind
import io.tarragonport.api.error.ExecutionStatus
import io.tarragonport.api.error.RequestError

/** Errors returned before anything is sent to a backend server; `ran` is `no` in all but [outcomeUnknown]. */
internal object RequestErrors {
    private const val AUTHORIZATION = "Authorization"

    val notConfigured = notRun(ErrorKind.NOT_CONFIGURED, "this VM has no configuration yet")
    val isolated = notRun(ErrorKind.ISOLATED, "this VM cannot know whether keys were withdrawn")
    val draining = notRun(ErrorKind.DRAINING, "this VM is shutting down")
    val keyMissing = notRun(ErrorKind.KEY_MISSING, "a key is required", AUTHORIZATION)
    val keyHeaderRepeated = notRun(ErrorKind.INVALID_REQUEST, "the header is given more than once", AUTHORIZATION)
    val keyMalformed = notRun(ErrorKind.KEY_MISSING, "expected: Bearer KEY", AUTHORIZATION)
    val keyUnknown = notRun(ErrorKind.KEY_UNKNOWN, "the key is not known", AUTHORIZATION)
    val keyWithdrawn = notRun(ErrorKind.KEY_WITHDRAWN, "the key was withdrawn", AUTHORIZATION)
    val notAllowed = notRun(ErrorKind.NOT_ALLOWED, "no route allows this organisation and class here")
    val unknownPath = notRun(ErrorKind.UNKNOWN_PATH, "no such path", "path")
    val bodyTooLarge = notRun(ErrorKind.BODY_TOO_LARGE, "the body is too large", "body")
    val bodyIncomplete = notRun(ErrorKind.BODY_INCOMPLETE, "the body ended early", "body")
    val callerTooSlow = notRun(ErrorKind.CALLER_TOO_SLOW, "the body did not arrive in time", "body")
    val callerDisconnected = notRun(ErrorKind.BODY_INCOMPLETE, "the caller went away")
    val idempotencyKeyMissing =
        notRun(
            ErrorKind.IDEMPOTENCY_KEY_MISSING,
            "requests of this class need an idempotency key",
            CallerHeaders.IDEMPOTENCY_KEY,
        )
    val idempotencyKeyReused =
        notRun(
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
    ): RequestError = notRun(ErrorKind.INVALID_REQUEST, message, field)

    fun keyInside(field: String): RequestError = invalid("contains the caller's key, which is not passed on", field)

    fun notRun(
        kind: ErrorKind,
        message: String,
        field: String? = null,
    ): RequestError = RequestError(kind, message, ExecutionStatus.NO, field)
}
