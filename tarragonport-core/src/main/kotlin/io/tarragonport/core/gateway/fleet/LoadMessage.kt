package io.tarragonport.core.gateway.fleet

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.VmId
import io.tarragonport.core.gateway.balance.ServerLoad

/** Loads to be sent to [receiver]: a report, or with [ofOthers] what all VMs but the receiver have. */
data class LoadMessage(
    val receiver: VmId,
    val ofOthers: Boolean,
    val loads: Map<BackendServerId, ServerLoad>,
)
