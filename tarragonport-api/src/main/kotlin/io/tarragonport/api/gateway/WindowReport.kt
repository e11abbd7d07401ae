package io.tarragonport.api.gateway

import io.tarragonport.api.id.OrganisationId

/** Number of requests that started to run in one usage window, by organisation. */
data class WindowReport(
    val window: Long,
    val requests: Map<OrganisationId, Long>,
)
