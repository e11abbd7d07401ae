package io.tarragonport.core.admission

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.PoolId

/**
 * State of a backend server according to configuration, inventory and peers.
 *
 * [cheap] is set for a server that the platform may reclaim. [slots] is the number of requests that it runs at once for
 * the whole fleet. [leaving] means that it must get no new requests, [leaveAnnounced] that the platform or a peer
 * announced this, rather than that it stopped responding.
 */
data class ServerStatus(
    val id: BackendServerId,
    val address: String,
    val pool: PoolId,
    val failureDomain: FailureDomainId,
    val cheap: Boolean,
    val slots: Int,
    val leaving: Boolean = false,
    val leaveAnnounced: Boolean = false,
)
