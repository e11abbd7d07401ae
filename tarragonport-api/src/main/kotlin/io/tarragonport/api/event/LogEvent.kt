package io.tarragonport.api.event

/**
 * A numbered log event.
 *
 * Each package that logs declares its events in one object; `docs/events.md` lists all of them. Ranges: 1000 process,
 * 1100 configuration, 1200 membership, 1300 leases, orders and placement, 1400 usage, 1500 intents, 2000 requests and
 * routing, 2100 retries and crashes, 2200 limits, 3000 gateway.
 */
data class LogEvent(
    val number: Int,
    val name: String,
    val description: String,
)
