package io.tarragonport.api.gateway

import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.ServiceId

/** Orders that [count] servers of [service] run in [domain]; ordinary and [cheap] servers are counted separately. */
data class ServerCountOrder(
    val service: ServiceId,
    val domain: FailureDomainId,
    val cheap: Boolean,
    val count: Int,
)
