package io.tarragonport.daemon.lease

import io.tarragonport.api.event.LogEvent

/** Log events of leases. */
object LeaseEvents {
    val ACQUIRED = LogEvent(1300, "lease_acquired", "This VM holds a lease under a new fencing token")
    val LOST = LogEvent(1301, "lease_lost", "This VM no longer holds a lease")
    val RELEASED = LogEvent(1302, "lease_released", "This VM released a lease at shutdown")
    val STORE_FAILED =
        LogEvent(1303, "lease_store_failed", "Reading or writing a lease object failed; the object is read again")
    val UNREADABLE = LogEvent(1304, "lease_unreadable", "A lease object cannot be parsed; it is not overwritten")

    /** All events of this package. */
    val ALL = listOf(ACQUIRED, LOST, RELEASED, STORE_FAILED, UNREADABLE)
}
