package io.tarragonport.daemon.gateway.control

import io.tarragonport.api.event.LogEvent

/** Writes one log line for each decision of the control thread. */
internal fun interface ControlLog {
    /** Logs [event] with the inputs of the decision. */
    fun event(
        event: LogEvent,
        vararg fields: Pair<String, Any?>,
    )
}
