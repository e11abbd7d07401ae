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
 * Follows configuration, inventory and peers, and tells routing which servers there are.
 *
 * A server leaves as soon as the inventory or any VM says so; what this VM learns from the inventory goes to the peers.
 */
class ServerDirectory(
    private val configuration: ConfigurationSource,
    private val inventory: InventoryView,
    private val gossip: PeerGossip,
) {
    private val mutableServers = MutableStateFlow<List<ServerStatus>>(emptyList())

    /** Servers that may be used or are leaving. */
    val servers: StateFlow<List<ServerStatus>> = mutableServers

    /** Runs until it is cancelled. */
    suspend fun run() {
        combine(configuration.current, inventory.servers, gossip.leaving) { current, listed, leaving ->
            announce(listed, leaving)
            ServerCatalog.combine(current, listed).map {
                if (it.id in leaving) it.copy(leaving = true, leaveAnnounced = true) else it
            }
        }.collect { mutableServers.value = it }
    }

    private fun announce(
        listed: List<InventoryServer>,
        known: Set<BackendServerId>,
    ) = listed
        .filter { it.state == InventoryServerState.LEAVING && it.id !in known }
        .forEach { gossip.reportLeaving(it.id) }
}
