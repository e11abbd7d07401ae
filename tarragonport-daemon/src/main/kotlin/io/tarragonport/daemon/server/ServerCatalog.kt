package io.tarragonport.daemon.server

import io.tarragonport.api.platform.InventoryServer
import io.tarragonport.api.platform.InventoryServerState
import io.tarragonport.core.admission.ServerStatus
import io.tarragonport.core.configuration.Configuration

/** Combines the servers configured in pools with those in the inventory of the backend server interface. */
object ServerCatalog {
    /** Servers that are usable or leaving; servers that are still starting are omitted. */
    fun combine(
        configuration: Configuration?,
        inventory: List<InventoryServer>,
    ): List<ServerStatus> {
        if (configuration == null) {
            return emptyList()
        }
        val leaving = inventory.filter { it.state == InventoryServerState.LEAVING }.map { it.id }.toSet()
        val configured =
            configuration.document.pools.flatMap { pool ->
                pool.servers.map { server ->
                    ServerStatus(
                        id = server.id,
                        address = server.address,
                        pool = pool.id,
                        failureDomain = server.failureDomain,
                        cheap = server.cheap,
                        slots = pool.slots,
                        leaving = server.id in leaving,
                        leaveAnnounced = server.id in leaving,
                    )
                }
            }
        return (configured + inventory.mapNotNull { fromInventory(configuration, it) }).distinctBy { it.id }
    }

    private fun fromInventory(
        configuration: Configuration,
        server: InventoryServer,
    ): ServerStatus? {
        val pool = configuration.pool(server.pool) ?: return null
        if (server.state == InventoryServerState.STARTING) {
            return null
        }
        return ServerStatus(
            id = server.id,
            address = server.address,
            pool = pool.id,
            failureDomain = server.failureDomain,
            cheap = server.cheap,
            slots = pool.slots,
            leaving = server.state == InventoryServerState.LEAVING,
            leaveAnnounced = server.state == InventoryServerState.LEAVING,
        )
    }
}
