package io.tarragonport.core.gateway.fleet

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.VmId
import io.tarragonport.core.gateway.balance.ServerLoad

/**
 * Loads to send to [receiver].
 *
 * If [isAggregate], they are the aggregate of all VMs except the receiver. Otherwise they are the report of the sender
 * and of the VMs that report to it.
 */
data class LoadMessage(
    val receiver: VmId,
    val isAggregate: Boolean,
    val loads: Map<BackendServerId, ServerLoad>,
)
