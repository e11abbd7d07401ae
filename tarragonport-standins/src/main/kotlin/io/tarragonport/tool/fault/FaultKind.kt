package io.tarragonport.tool.fault

/** Faults that a fault run injects. The schedule draws each of them once before it repeats any. */
enum class FaultKind {
    KILL_VM,
    FREEZE_VM,
    RESTART_VM,
    CUT_PLATFORM_LINK,
    DELAY_PLATFORM_LINK,
    PLATFORM_OUTAGE,

    /** Some writes take effect, but their connection breaks before the response. */
    PLATFORM_LOSES_ANSWERS,

    /** Watches get no response. */
    PLATFORM_WATCH_STUCK,
    ENGINE_CRASH,

    /** An engine generates tokens several times slower than usual. */
    ENGINE_STRAGGLES,

    /** An engine sends streams with a wrong id or with duplicate, missing or reordered tokens, or truncates them. */
    ENGINE_SPOILS_STREAMS,

    /** The ledger service drops calls before execution or their responses after it. */
    SERVICE_DROPS_ANSWERS,

    /** Two operators change the same configuration section concurrently. */
    OPERATORS_RACE,

    /** The platform reclaims the cheap servers of a failure domain after a notice. */
    DOMAIN_RECLAIM,
}
