package io.tarragonport.api.gateway

import io.tarragonport.api.id.ServiceId

/**
 * A group of interchangeable backend servers.
 *
 * [maximumConnections] is the number of connections that one server accepts from all VMs together. [engine] is set for
 * model engines, [scaling] for services whose number of servers is managed by this system. [coldRate] is the number of
 * requests per second that a cold server takes from all VMs together; null if servers are never cold.
 */
data class GatewayService(
    val id: ServiceId,
    val healthPath: String,
    val maximumConnections: Int,
    val engine: EngineLimits? = null,
    val scaling: ScalingLimits? = null,
    val coldRate: Double? = null,
)
