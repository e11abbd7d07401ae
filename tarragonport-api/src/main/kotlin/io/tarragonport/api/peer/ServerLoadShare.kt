package io.tarragonport.api.peer

import io.tarragonport.api.id.BackendServerId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** Number of requests at one backend server and of prompt tokens that it has not processed yet. */
@Serializable
data class ServerLoadShare(
    @CborLabel(1) val server: BackendServerId,
    @CborLabel(2) val inFlight: Int,
    @CborLabel(3) @SerialName("unreadTokens") val unprocessedTokens: Long,
)
