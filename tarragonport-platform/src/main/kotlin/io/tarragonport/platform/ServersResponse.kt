package io.tarragonport.platform

import io.tarragonport.api.platform.InventoryServer
import kotlinx.serialization.Serializable

/** Response of `GET /backend/{domain}/servers`. */
@Serializable
data class ServersResponse(
    val servers: List<InventoryServer>,
)
