package io.tarragonport.daemon.store

/** An injected fault of one object store call. */
enum class Fault {
    /** The call has no effect and gets no response. */
    UNAVAILABLE,

    /** The call takes effect, but its response is lost. */
    RESPONSE_LOST,

    /** The caller gets no response; the call takes effect later. */
    EFFECT_DELAYED,

    /** A write takes effect and is retried by a lower layer, which reports a conflict with the first write. */
    CONFLICT_AFTER_EFFECT,
}
