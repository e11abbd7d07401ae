package io.tarragonport.daemon.peer

import io.tarragonport.api.peer.PeerEnvelope

/** Transports messages between VMs. Messages can be lost; senders repeat those that must arrive. */
interface PeerTransport {
    /** Accepts connections and passes every envelope to [receive] until cancelled. */
    suspend fun run(receive: suspend (PeerEnvelope) -> Unit)

    /** Sends [envelope] to the VM at [address] (`ip:port`) without suspending. */
    fun send(
        address: String,
        envelope: PeerEnvelope,
    )
}
