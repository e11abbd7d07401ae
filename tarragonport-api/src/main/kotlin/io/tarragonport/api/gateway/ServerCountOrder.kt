package io.tarragonport.api.gateway

import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.ServiceId

/** Orders [count] servers of [service] in [domain]; ordinary and [cheap] servers are ordered separately. */
data class ServerCountOrder(
    val service: ServiceId,
    val domain: FailureDomainId,
    val cheap: Boolean,
    val count: Int,
)
