package io.tarragonport.core.gateway.fleet

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.VmId
import io.tarragonport.core.gateway.balance.ServerLoad

/** Loads to send to [receiver]: a report, or if [ofOthers], the aggregate of all VMs except the receiver. */
data class LoadMessage(
    val receiver: VmId,
    val ofOthers: Boolean,
    val loads: Map<BackendServerId, ServerLoad>,
)
