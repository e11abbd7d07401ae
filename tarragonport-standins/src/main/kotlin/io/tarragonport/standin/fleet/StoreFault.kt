package io.tarragonport.standin.fleet

/** What is wrong with the store stand-in. */
enum class StoreFault {
    NONE,

    /** Every call is answered with status 503 and has no effect. */
    BUSY,

    /** Writes take effect and their answers are lost. */
    LOST_ANSWERS,

    /** Watches that begin now are never answered, as on a connection that went silent; other calls are. */
    SILENT_WATCHES,
}
