package io.tarragonport.daemon

import io.tarragonport.api.event.LogEvent
import io.tarragonport.daemon.configuration.ConfigurationEvents
import io.tarragonport.daemon.dispatch.RequestEvents
import io.tarragonport.daemon.gateway.exchange.GatewayEvents
import io.tarragonport.daemon.intent.IntentEvents
import io.tarragonport.daemon.lease.LeaseEvents
import io.tarragonport.daemon.limit.LimitEvents
import io.tarragonport.daemon.peer.PeerEvents
import io.tarragonport.daemon.placement.PlacementEvents
import io.tarragonport.daemon.placement.WeightEvents
import io.tarragonport.daemon.usage.UsageEvents

/** All numbered log events of the daemon, sorted by number. */
object EventCatalogue {
    val ALL: List<LogEvent> =
        listOf(
            ProcessEvents.ALL,
            ConfigurationEvents.ALL,
            RequestEvents.ALL,
            IntentEvents.ALL,
            LeaseEvents.ALL,
            LimitEvents.ALL,
            PeerEvents.ALL,
            PlacementEvents.ALL,
            UsageEvents.ALL,
            WeightEvents.ALL,
            GatewayEvents.ALL,
        ).flatten().sortedBy { it.number }

    /** The rows of the table in `docs/events.md`. */
    fun rows(): List<String> = ALL.map { "| ${it.number} | `${it.name}` | ${it.description} |" }
}
