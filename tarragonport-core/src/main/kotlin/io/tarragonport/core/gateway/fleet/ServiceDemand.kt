package io.tarragonport.core.gateway.fleet

import kotlinx.serialization.Serializable

/** Load that one VM sends to a service: [readTokens] that engines had to read per second and mean [inFlight] requests. */
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
