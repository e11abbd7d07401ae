package io.tarragonport.daemon.placement

/** Result of sending an order. */
internal enum class OrderOutcome {
    ACCEPTED,
    REJECTED,
    UNKNOWN,
    WITHHELD,
}
