package io.tarragonport.core.limit

/**
 * Reason for which a report is due, the most urgent first. If reports exceed the budget, the least urgent ones wait.
 */
enum class ReportUrgency {
    /** The organisation is near its limit, or its demand on this VM has grown since the last report. */
    NEAR_LIMIT,

    /** The aggregator has no report of this VM or did not respond. */
    UNKNOWN,

    /** The organisation is far below its limit and its last report is old. */
    ROTATION,
}
