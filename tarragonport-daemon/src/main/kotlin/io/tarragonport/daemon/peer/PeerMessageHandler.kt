package io.tarragonport.daemon.peer

import io.tarragonport.api.id.VmId
import io.tarragonport.api.peer.PeerMessage

/** Receives messages of peers on the control dispatcher; must not block. */
fun interface PeerMessageHandler {
    fun receive(
        from: VmId,
        message: PeerMessage,
    )
}
