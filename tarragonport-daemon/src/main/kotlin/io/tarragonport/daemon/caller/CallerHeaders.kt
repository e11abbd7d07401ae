package io.tarragonport.daemon.caller

/** Names of headers between callers and this VM, and of those forwarded to and from plain services. */
object CallerHeaders {
    const val REQUEST_CLASS = "X-Request-Class"
    const val IDEMPOTENCY_KEY = "Idempotency-Key"
    const val REQUEST_ID = "X-Request-Id"
    const val DEADLINE_MS = "X-Deadline-Ms"
    const val ATTEMPT = "X-Attempt"
    const val SERVED_BY = "X-Served-By"
    const val BACKEND_SERVER = "X-Backend-Server"

    /** Request headers that are forwarded to plain services, in lower case. */
    val TO_SERVICE =
        setOf(
            "accept",
            "accept-language",
            "content-language",
            "content-type",
            "idempotency-key",
            "if-match",
            "if-none-match",
        )

    /** Response headers of plain services that are forwarded to callers, in lower case. */
    val FROM_SERVICE =
        setOf("cache-control", "content-language", "content-type", "etag", "last-modified", "location", "retry-after")
}
