package io.tarragonport.core.gateway.fleet

import kotlinx.serialization.Serializable

/** Load of one VM on a service: [readTokens] that engines process per second and the mean of requests [inFlight]. */
@Serializable
data class ServiceDemand(
    val readTokens: Double,
    val inFlight: Double,
) {
    operator fun plus(other: ServiceDemand) = ServiceDemand(readTokens + other.readTokens, inFlight + other.inFlight)

    companion object {
        val NONE = ServiceDemand(0.0, 0.0)
    }
}
