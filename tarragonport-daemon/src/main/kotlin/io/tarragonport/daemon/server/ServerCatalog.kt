package io.tarragonport.daemon.server

import io.tarragonport.api.platform.InventoryServer
import io.tarragonport.api.platform.InventoryServerState
import io.tarragonport.core.admission.ServerStatus
import io.tarragonport.core.configuration.Configuration

/** Combines the servers that operators list in pools with those of the backend server interface's inventory. */
object ServerCatalog {
    /** Servers that may be used or that are leaving; a server that is still starting is left out. */
    fun combine(
        configuration: Configuration?,
        inventory: List<InventoryServer>,
    ): List<ServerStatus> {
        if (configuration == null) {
            return emptyList()
        }
        val leaving = inventory.filter { it.state == InventoryServerState.LEAVING }.map { it.id }.toSet()
        val listed =
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
        return (listed + inventory.mapNotNull { found(configuration, it) }).distinctBy { it.id }
    }

    private fun found(
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
