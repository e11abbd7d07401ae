package io.tarragonport.api.gateway

import io.tarragonport.api.id.ConfigurationVersion

/** One complete version of the operator's configuration. */
data class GatewayConfiguration(
    val version: ConfigurationVersion,
    val routes: List<GatewayRoute>,
    val services: List<GatewayService>,
    val limits: CallerLimits,
    val organisations: List<OrganisationAccess>,
)
