package io.tarragonport.daemon.configuration

import io.tarragonport.api.event.LogEvent

/** Log events of the configuration loop, 1100 to 1199. */
object ConfigurationEvents {
    val SECTION_APPLIED = LogEvent(1101, "section_applied", "a newer version of a section is active")
    val SECTION_REJECTED =
        LogEvent(1102, "section_rejected", "a section cannot be parsed; the active version is kept")
    val SECTION_HELD =
        LogEvent(1103, "section_held", "a section is deferred until the section that it refers to arrives")
    val REFERENCE_MISSING =
        LogEvent(
            1104,
            "reference_missing",
            "a deferred section was applied without the entries whose references are missing",
        )
    val PLATFORM_SILENT =
        LogEvent(1105, "configuration_platform_silent", "reading the configuration from the platform failed")
    val ISOLATED = LogEvent(1106, "isolated", "neither the platform nor any peer responds")
    val NOT_ISOLATED = LogEvent(1107, "not_isolated", "the platform or a peer responds again")
    val COMPLETE = LogEvent(1108, "configuration_complete", "all sections are loaded")

    /** Every event of this package. */
    val ALL =
        listOf(
            SECTION_APPLIED,
            SECTION_REJECTED,
            SECTION_HELD,
            REFERENCE_MISSING,
            PLATFORM_SILENT,
            ISOLATED,
            NOT_ISOLATED,
            COMPLETE,
        )
}
