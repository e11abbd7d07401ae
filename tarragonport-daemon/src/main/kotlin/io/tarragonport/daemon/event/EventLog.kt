package io.tarragonport.daemon.event

import io.github.oshai.kotlinlogging.KLogger
import io.tarragonport.api.event.LogEvent

/** Text of a log line for this event with [detail]. */
internal fun LogEvent.line(detail: String): String = "$number $name: $detail"

/** Logs [event] as an error with its number and name. */
internal fun KLogger.logError(
    event: LogEvent,
    text: () -> String,
) = error { event.line(text()) }

/** Logs [event] as a warning with its number and name. */
internal fun KLogger.logWarning(
    event: LogEvent,
    text: () -> String,
) = warn { event.line(text()) }

/** Logs [event] as information with its number and name. */
internal fun KLogger.logInfo(
    event: LogEvent,
    text: () -> String,
) = info { event.line(text()) }
