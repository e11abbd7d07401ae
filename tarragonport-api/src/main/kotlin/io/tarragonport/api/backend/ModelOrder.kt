package io.tarragonport.api.backend

import io.tarragonport.api.id.FencingToken
import io.tarragonport.api.id.OrderId
import io.tarragonport.api.id.VmId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** An order to a model engine; [name] is the model, adapter or role, [version] its version. */
@Serializable
data class ModelOrder(
    val orderId: OrderId,
    @SerialName("fencingNumber")
    val fencingToken: FencingToken,
    val holder: VmId,
    val kind: ModelOrderKind,
    val name: String,
    val version: String = "",
)
