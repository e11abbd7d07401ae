package io.tarragonport.tool.soak

/** Faults that a soak run injects from outside the processes. */
enum class SoakFault {
    KILL_VM,
    FREEZE_VM,
    STOP_VM,

    /** Sends SIGHUP, on which the process reloads its settings. */
    HANG_UP_VM,
    KILL_ALL_VMS,
    CUT_STORE,
    SILENT_STORE,
    ONE_WAY_STORE,
    SLOW_STORE,
    RESET_STORE_CONNECTIONS,

    /** Reads, writes and watches of the store get status 503 and have no effect. */
    BUSY_STORE,

    /** Writes to the store take effect, but their responses do not arrive in time. */
    LOST_STORE_ANSWERS,

    /** New watches get no response. */
    SILENT_WATCHES,

    /** The store removes its history of changes, from which watches resume. */
    COMPACT_STORE,
    CRASH_SERVER,
    DRAIN_SERVER,
    CUT_SERVER,
    SILENT_SERVER,
    ONE_WAY_SERVER,
    SLOW_SERVER,
    RESET_SERVER_CONNECTIONS,

    /** A server loses, truncates, duplicates or fails a share of its responses. */
    SPOIL_ANSWERS,

    /** An operator adds a key and withdraws the oldest one. */
    REPLACE_KEY,

    /** An operator writes several configuration versions in quick succession. */
    CONFIGURATION_STORM,
}
