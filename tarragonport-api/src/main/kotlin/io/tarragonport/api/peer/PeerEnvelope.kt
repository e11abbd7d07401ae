package io.tarragonport.api.peer

import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.VmId
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** A message and its sender; the content of one frame. */
@Serializable
data class PeerEnvelope(
    @CborLabel(1) val from: VmId,
    @CborLabel(2) val incarnation: Incarnation,
    @CborLabel(3) val message: PeerMessage,
)
