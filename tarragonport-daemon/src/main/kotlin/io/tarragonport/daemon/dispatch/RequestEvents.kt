package io.tarragonport.daemon.dispatch

import io.tarragonport.api.event.LogEvent

/** Log events of requests and routing (2000) and of retries and crashes (2100). */
object RequestEvents {
    val STARTED = LogEvent(2000, "request_started", "The policy chose a backend server for a request.")
    val REFUSED = LogEvent(2001, "request_refused", "The policy refused a waiting request.")
    val PREEMPTED = LogEvent(2002, "request_preempted", "A stream was paused in favour of a higher tier.")
    val ENDED = LogEvent(2003, "request_ended", "A request ended, with its outcome.")
    val CUT = LogEvent(2004, "request_cut", "A request was aborted: key withdrawn or VM isolated.")
    val UNEXPECTED = LogEvent(2005, "request_error", "An internal error of the daemon ended a request.")
    val RUN_FAILED = LogEvent(2100, "run_failed", "An attempt on a backend server failed, with the retry decision.")
    val CRASH = LogEvent(2101, "server_crashed", "A backend server crashed with the request in flight.")

    val CACHE_MOVED =
        LogEvent(2102, "cache_moved", "The KV cache of a migrated stream was transferred to its new server.")
    val CACHE_NOT_MOVED =
        LogEvent(
            2103,
            "cache_not_moved",
            "A KV cache was not transferred in time; the stream resumes with a new prefill.",
        )

    /** Every event of this package. */
    val ALL =
        listOf(STARTED, REFUSED, PREEMPTED, ENDED, CUT, UNEXPECTED, RUN_FAILED, CRASH, CACHE_MOVED, CACHE_NOT_MOVED)
}
