package io.tarragonport.tool.fault

/** Faults that a fault run injects; the schedule uses all of them. */
enum class FaultKind {
    KILL_VM,
    FREEZE_VM,
    RESTART_VM,
    CUT_PLATFORM_LINK,
    DELAY_PLATFORM_LINK,
    PLATFORM_OUTAGE,
    PLATFORM_LOSES_ANSWERS,
    PLATFORM_WATCH_STUCK,
    ENGINE_CRASH,
    ENGINE_STRAGGLES,
    ENGINE_SPOILS_STREAMS,
    SERVICE_DROPS_ANSWERS,
    OPERATORS_RACE,
    DOMAIN_RECLAIM,
}
