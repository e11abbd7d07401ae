package io.tarragonport.api.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** State of a backend server in the inventory of the backend server interface. */
@Serializable
enum class InventoryServerState {
    @SerialName("starting")
    STARTING,

    @SerialName("live")
    LIVE,

    @SerialName("leaving")
    LEAVING,
}
