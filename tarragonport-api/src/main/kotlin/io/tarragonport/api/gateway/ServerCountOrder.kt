package io.tarragonport.api.gateway

import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.ServiceId

/**
 * Sets the number of servers of [service] in [domain] to [count]; the numbers of ordinary and [cheap] servers are set
 * separately.
 */
data class ServerCountOrder(
    val service: ServiceId,
    val domain: FailureDomainId,
    val cheap: Boolean,
    val count: Int,
)
