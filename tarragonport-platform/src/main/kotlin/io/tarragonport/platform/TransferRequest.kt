package io.tarragonport.platform

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.FencingToken
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Body of `POST /weights/{model}/transfers`. */
@Serializable
data class TransferRequest(
    val server: BackendServerId,
    @SerialName("fencingNumber")
    val fencingToken: FencingToken,
)
