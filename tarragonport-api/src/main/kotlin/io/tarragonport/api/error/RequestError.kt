package io.tarragonport.api.error

/**
 * An error answer to a caller.
 *
 * [field] names the offending header, body field or path element, [ran] says whether the request ran.
 */
data class RequestError(
    val kind: ErrorKind,
    val message: String,
    val ran: ExecutionStatus,
    val field: String? = null,
    val retryAfterSeconds: Int? = kind.retryAfterSeconds,
)
