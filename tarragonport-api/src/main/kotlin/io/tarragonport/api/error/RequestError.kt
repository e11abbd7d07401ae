package io.tarragonport.api.error

/**
 * An error response to a caller.
 *
 * [field] names the invalid header, body field or path element; [ran] states whether the request ran.
 */
data class RequestError(
    val kind: ErrorKind,
    val message: String,
    val ran: ExecutionStatus,
    val field: String? = null,
    val retryAfterSeconds: Int? = kind.retryAfterSeconds,
)
