package io.tarragonport.daemon.limit

import io.tarragonport.api.event.LogEvent

/** Log events of limits, 2200 to 2299. */
object LimitEvents {
    val SHARES_LOST =
        LogEvent(2201, "limit_shares_lost", "an aggregator does not respond; its shares decay to equal ones")
    val SHARES_RECEIVED = LogEvent(2202, "limit_shares_received", "an aggregator responds again")

    /** Every event of this package. */
    val ALL =
        listOf(
            SHARES_LOST,
            SHARES_RECEIVED,
        )
}
