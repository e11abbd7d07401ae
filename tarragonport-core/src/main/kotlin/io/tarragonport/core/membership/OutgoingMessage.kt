package io.tarragonport.core.membership

import io.tarragonport.api.peer.PeerMessage

/** A message for the VM with the peer address [address] (`ip:port`). */
data class OutgoingMessage(
    val address: String,
    val message: PeerMessage,
)
