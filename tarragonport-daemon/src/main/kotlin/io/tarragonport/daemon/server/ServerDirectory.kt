package io.tarragonport.daemon.server

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.platform.InventoryServer
import io.tarragonport.api.platform.InventoryServerState
import io.tarragonport.core.admission.ServerStatus
import io.tarragonport.daemon.configuration.ConfigurationSource
import io.tarragonport.daemon.peer.PeerGossip
import io.tarragonport.daemon.placement.InventoryView
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.combine

/**
 * Maintains the list of servers for routing from configuration, inventory and peers.
 *
 * A server is leaving as soon as the inventory or any VM reports it; this VM announces leaving servers of its inventory
 * to peers.
 */
class ServerDirectory(
    private val configuration: ConfigurationSource,
    private val inventory: InventoryView,
    private val gossip: PeerGossip,
) {
    private val mutableServers = MutableStateFlow<List<ServerStatus>>(emptyList())

    /** Servers that are usable or leaving. */
    val servers: StateFlow<List<ServerStatus>> = mutableServers

    /** Runs until cancelled. */
    suspend fun run() {
        combine(configuration.current, inventory.servers, gossip.leaving) { current, inventoryServers, leaving ->
            announce(inventoryServers, leaving)
            ServerCatalog.combine(current, inventoryServers).map {
                if (it.id in leaving) it.copy(leaving = true, leaveAnnounced = true) else it
            }
        }.collect { mutableServers.value = it }
    }

    private fun announce(
        inventoryServers: List<InventoryServer>,
        announced: Set<BackendServerId>,
    ) = inventoryServers
        .filter { it.state == InventoryServerState.LEAVING && it.id !in announced }
        .forEach { gossip.reportLeaving(it.id) }
}
