package io.tarragonport.api.configuration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Whether a pool holds model engines or plain services. */
@Serializable
enum class PoolKind {
    @SerialName("model")
    MODEL,

    @SerialName("service")
    SERVICE,
}
