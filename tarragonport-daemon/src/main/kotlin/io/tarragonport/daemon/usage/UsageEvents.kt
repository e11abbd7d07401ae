package io.tarragonport.daemon.usage

import io.tarragonport.api.event.LogEvent

/** Log events of usage. */
object UsageEvents {
    val FLUSH_FAILED =
        LogEvent(1400, "usage_flush_failed", "Counts could not be written; they are kept in memory and retried")
    val OBJECT_DELETED =
        LogEvent(
            1401,
            "usage_object_deleted",
            "This process was considered dead and its object deleted; it continues in a new object",
        )
    val FINAL_FLUSH_FAILED =
        LogEvent(1402, "usage_final_flush_failed", "Counts could not be written before the process ended")
    val WINDOW_FIXED =
        LogEvent(1403, "usage_window_fixed", "The figures of a window were stored and are final")
    val WINDOW_REPORTED =
        LogEvent(1404, "usage_window_reported", "All figures of a window were reported")
    val REPORT_FAILED =
        LogEvent(1405, "usage_report_failed", "A figure could not be reported; it is retried")
    val REPORT_REFUSED =
        LogEvent(
            1406,
            "usage_report_refused",
            "The platform refused a figure: it has a different one, or the lease has a newer holder",
        )
    val STORE_FAILED =
        LogEvent(1407, "usage_store_failed", "An object store call for usage objects failed; it is retried")
    val STEP_FAILED =
        LogEvent(
            1408,
            "usage_step_failed",
            "A usage invariant is violated or an object is invalid; nothing was reported",
        )
    val OBJECT_PRUNED =
        LogEvent(1409, "usage_object_pruned", "The completely reported object of an ended process was deleted")

    /** All events of this package. */
    val ALL =
        listOf(
            FLUSH_FAILED,
            OBJECT_DELETED,
            FINAL_FLUSH_FAILED,
            WINDOW_FIXED,
            WINDOW_REPORTED,
            REPORT_FAILED,
            REPORT_REFUSED,
            STORE_FAILED,
            STEP_FAILED,
            OBJECT_PRUNED,
        )
}
