package io.tarragonport.core.gateway.scaling

import io.tarragonport.api.id.FailureDomainId

/** Servers of a service in one failure domain that take requests. */
data class DomainServers(
    val domain: FailureDomainId,
    val ordinary: Int,
    val cheap: Int,
)
