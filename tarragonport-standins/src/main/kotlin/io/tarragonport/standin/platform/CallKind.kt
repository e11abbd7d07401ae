package io.tarragonport.standin.platform

/** Kind of call, as distinguished by the call budget of the platform. */
enum class CallKind(
    val wireName: String,
) {
    READ("reads"),
    WRITE("writes"),
    WATCH("watches"),
}
