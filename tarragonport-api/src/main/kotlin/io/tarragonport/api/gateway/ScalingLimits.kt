package io.tarragonport.api.gateway

import io.tarragonport.api.id.FailureDomainId
import kotlin.time.Duration

/**
 * Limits on the number of servers in each failure domain, and their prices.
 *
 * [cheapPrice] is the price of a reclaimable (cheap) server relative to an ordinary one; [domainPrices] are the prices
 * of an ordinary server per second. [startTime] is the time from an order until the server is ready.
 */
data class ScalingLimits(
    val minimumServers: Int,
    val maximumServers: Int,
    val startTime: Duration,
    val cheapPrice: Double?,
    val domainPrices: Map<FailureDomainId, Double>,
)
