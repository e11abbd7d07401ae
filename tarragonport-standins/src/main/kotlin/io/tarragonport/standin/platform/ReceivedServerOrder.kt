package io.tarragonport.standin.platform

import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.platform.ServerOrder
import kotlinx.serialization.Serializable

/** A server order received [atMs] after the start of the stand-in, with the [status] of the response. */
@Serializable
data class ReceivedServerOrder(
    val atMs: Long,
    val failureDomain: FailureDomainId,
    val order: ServerOrder,
    val status: Int,
)
