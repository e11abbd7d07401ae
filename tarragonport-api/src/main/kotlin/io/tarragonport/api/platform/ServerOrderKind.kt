package io.tarragonport.api.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Kind of an order to the backend server interface. */
@Serializable
enum class ServerOrderKind {
    @SerialName("start")
    START,

    @SerialName("drain")
    DRAIN,

    @SerialName("stop")
    STOP,
}
