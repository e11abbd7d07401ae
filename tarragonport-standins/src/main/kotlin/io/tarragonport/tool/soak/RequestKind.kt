package io.tarragonport.tool.soak

/**
 * The kinds of requests that soak callers send. [repeatable] ones may be executed more than once, those with [streams]
 * get a stream of events, and [public] ones need no key.
 */
enum class RequestKind(
    val method: String,
    val path: String,
    val repeatable: Boolean,
    val streams: Boolean,
    val public: Boolean = false,
) {
    READ("GET", "/read/", repeatable = true, streams = false),
    POST("POST", "/post/", repeatable = false, streams = false),
    CHAT("POST", "/chat/", repeatable = false, streams = true),
    RESUMABLE("POST", "/resume/", repeatable = true, streams = true),
    OPEN("GET", "/open/", repeatable = true, streams = false, public = true),
}
