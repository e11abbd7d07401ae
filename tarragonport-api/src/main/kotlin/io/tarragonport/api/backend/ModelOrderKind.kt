package io.tarragonport.api.backend

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Kind of an order to a model engine. */
@Serializable
enum class ModelOrderKind {
    @SerialName("load_model")
    LOAD_MODEL,

    @SerialName("unload_model")
    UNLOAD_MODEL,

    @SerialName("load_adapter")
    LOAD_ADAPTER,

    @SerialName("change_role")
    CHANGE_ROLE,
}
