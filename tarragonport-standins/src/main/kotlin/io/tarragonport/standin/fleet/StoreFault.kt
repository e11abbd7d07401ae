package io.tarragonport.standin.fleet

/** Injected fault of the store stand-in. */
enum class StoreFault {
    NONE,

    /** Reads, writes and watches of objects get status 503 and have no effect. */
    BUSY,

    /** Writes take effect, but their responses are delayed beyond the timeout of any client. */
    LOST_ANSWERS,

    /** New watches get no response, as on a stalled connection; other calls are served. */
    SILENT_WATCHES,
}
