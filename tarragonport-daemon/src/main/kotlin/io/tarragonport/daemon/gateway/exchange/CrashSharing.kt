package io.tarragonport.daemon.gateway.exchange

import io.tarragonport.api.peer.PeerMessage

/** Passes crashes and successes that this VM has just learnt of on to other VMs; called by the traffic thread. */
internal fun interface CrashSharing {
    fun passOn(news: PeerMessage.GatewayCrashes)
}
