package io.tarragonport.daemon.placement

import io.tarragonport.api.platform.InventoryServer
import kotlinx.coroutines.flow.StateFlow

/** Provides routing with the backend servers that the platform lists. */
interface InventoryView {
    /** Servers of all failure domains of the region; a domain that does not respond keeps its last inventory. */
    val servers: StateFlow<List<InventoryServer>>
}
