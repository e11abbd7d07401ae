package io.tarragonport.daemon

import io.tarragonport.api.event.LogEvent

/** Log events of the daemon process. */
object ProcessEvents {
    val STARTED = LogEvent(1001, "process_started", "the daemon listens; the text gives its VM and address")
    val READY = LogEvent(1002, "process_ready", "a configuration is active")
    val DRAINING = LogEvent(1003, "process_draining", "a stop signal arrived; active requests are completed")
    val STOPPED = LogEvent(1004, "process_stopped", "all requests ended, usage is flushed and leases are released")
    val PART_FAILED = LogEvent(1005, "part_failed", "a control loop failed unexpectedly and is restarted")

    val ALL = listOf(STARTED, READY, DRAINING, STOPPED, PART_FAILED)
}
