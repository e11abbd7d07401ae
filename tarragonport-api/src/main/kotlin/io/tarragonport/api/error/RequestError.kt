package io.tarragonport.api.error

/**
 * An error response to a caller.
 *
 * [field] names the invalid header, body field or path element; [executionStatus] states whether the request was
 * executed.
 */
data class RequestError(
    val kind: ErrorKind,
    val message: String,
    val executionStatus: ExecutionStatus,
    val field: String? = null,
    val retryAfterSeconds: Int? = kind.retryAfterSeconds,
)
