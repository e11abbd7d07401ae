package io.tarragonport.api.error

/**
 * The closed list of error kinds and their HTTP responses.
 *
 * [code] is the stable name in the JSON body, [status] the HTTP status, and [retryAfterSeconds] the value of the
 * `Retry-After` header for errors where a retry can succeed.
 */
enum class ErrorKind(
    val code: String,
    val status: Int,
    val retryAfterSeconds: Int? = null,
) {
    INVALID_REQUEST("invalid_request", 400),
    BODY_TOO_LARGE("body_too_large", 413),
    HEADERS_TOO_LARGE("headers_too_large", 431),
    BODY_INCOMPLETE("body_incomplete", 400),
    CALLER_TOO_SLOW("caller_too_slow", 408),
    KEY_MISSING("key_missing", 401),
    KEY_UNKNOWN("key_unknown", 401),
    KEY_WITHDRAWN("key_withdrawn", 401),
    NOT_ALLOWED("not_allowed", 403),
    UNKNOWN_MODEL("unknown_model", 404),
    UNKNOWN_SERVICE("unknown_service", 404),
    UNKNOWN_CLASS("unknown_class", 400),
    UNKNOWN_PATH("unknown_path", 404),
    IDEMPOTENCY_KEY_MISSING("idempotency_key_missing", 400),
    IDEMPOTENCY_KEY_REUSED("idempotency_key_reused", 422),
    OUTCOME_UNKNOWN("outcome_unknown", 409),
    LIMIT_EXCEEDED("limit_exceeded", 429, 5),
    OVERLOADED("overloaded", 503, 2),
    DEADLINE_UNREACHABLE("deadline_unreachable", 503, 5),
    DEADLINE_EXCEEDED("deadline_exceeded", 504),
    REQUEST_HELD("request_held", 409),
    NO_BACKEND_SERVER("no_backend_server", 503, 2),
    BACKEND_FAILED("backend_failed", 502),
    ANSWER_INCOMPLETE("answer_incomplete", 502),
    STORE_UNAVAILABLE("store_unavailable", 503, 2),
    NOT_CONFIGURED("not_configured", 503, 1),
    ISOLATED("isolated", 503, 1),
    DRAINING("draining", 503, 1),
    INTERNAL("internal", 500),
}
