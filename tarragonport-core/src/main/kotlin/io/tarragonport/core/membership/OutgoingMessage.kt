package io.tarragonport.core.membership

import io.tarragonport.api.peer.PeerMessage

/** A message to send to the VM whose peer address is [address] (`ip:port`). */
data class OutgoingMessage(
    val address: String,
    val message: PeerMessage,
)
