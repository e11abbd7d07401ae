package io.tarragonport.daemon.peer

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.VmId
import io.tarragonport.api.peer.PoolDemand
import kotlinx.coroutines.flow.StateFlow

/** Disseminates observations to all VMs by gossip; safe to call from any thread. */
interface PeerGossip {
    /** Crashes by fingerprint summed over all VMs, this one included. */
    val crashes: StateFlow<Map<String, Int>>

    /** Latest demand of the other VMs of this region. */
    val demand: StateFlow<Map<VmId, List<PoolDemand>>>

    /** Backend servers that any VM reported as leaving. */
    val leaving: StateFlow<Set<BackendServerId>>

    /** Counts a backend server crash with the request of [fingerprint] in flight; to be called once for each crash. */
    fun reportCrash(fingerprint: String)

    /** Replaces the demand announced by this VM. */
    fun reportDemand(pools: List<PoolDemand>)

    /** Announces that [server] must receive no new requests. */
    fun reportLeaving(server: BackendServerId)
}
