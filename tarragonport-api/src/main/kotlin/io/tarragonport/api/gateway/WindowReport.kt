package io.tarragonport.api.gateway

import io.tarragonport.api.id.OrganisationId

/** Requests that began to run in one usage window, by organisation. */
data class WindowReport(
    val window: Long,
    val requests: Map<OrganisationId, Long>,
)
