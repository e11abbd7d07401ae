package io.tarragonport.core.gateway.scaling

import io.tarragonport.api.id.FailureDomainId

/** Number of servers of a service that accept requests in one failure domain. */
data class DomainServers(
    val domain: FailureDomainId,
    val ordinary: Int,
    val cheap: Int,
)
