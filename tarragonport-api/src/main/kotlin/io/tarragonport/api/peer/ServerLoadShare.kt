package io.tarragonport.api.peer

import io.tarragonport.api.id.BackendServerId
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** Requests at one backend server and prompt tokens that it has not read yet. */
@Serializable
data class ServerLoadShare(
    @CborLabel(1) val server: BackendServerId,
    @CborLabel(2) val inFlight: Int,
    @CborLabel(3) val unreadTokens: Long,
)
