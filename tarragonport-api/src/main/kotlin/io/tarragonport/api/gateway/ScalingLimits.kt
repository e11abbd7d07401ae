package io.tarragonport.api.gateway

import io.tarragonport.api.id.FailureDomainId
import kotlin.time.Duration

/**
 * Bounds of the number of servers in each failure domain, with their price.
 *
 * [cheapPrice] is the price of a reclaimable server relative to an ordinary one, [domainPrices] the price of one second
 * of an ordinary server.
 */
data class ScalingLimits(
    val minimumServers: Int,
    val maximumServers: Int,
    val startTime: Duration,
    val cheapPrice: Double?,
    val domainPrices: Map<FailureDomainId, Double>,
)
