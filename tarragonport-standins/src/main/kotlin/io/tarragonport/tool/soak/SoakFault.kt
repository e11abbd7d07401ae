package io.tarragonport.tool.soak

/** Faults that a soak run injects from outside the processes. */
enum class SoakFault {
    KILL_VM,
    FREEZE_VM,
    STOP_VM,
    HANG_UP_VM,
    KILL_ALL_VMS,
    CUT_STORE,
    SILENT_STORE,
    ONE_WAY_STORE,
    SLOW_STORE,
    RESET_STORE_CONNECTIONS,
    BUSY_STORE,
    LOST_STORE_ANSWERS,
    SILENT_WATCHES,
    COMPACT_STORE,
    CRASH_SERVER,
    DRAIN_SERVER,
    CUT_SERVER,
    SILENT_SERVER,
    ONE_WAY_SERVER,
    SLOW_SERVER,
    RESET_SERVER_CONNECTIONS,
    SPOIL_ANSWERS,
    REPLACE_KEY,
    CONFIGURATION_STORM,
}
