package io.tarragonport.api.gateway

import kotlin.time.Duration

/**
 * Requests for one host and path prefix.
 *
 * [priority] is the rank among all requests, 0 is served first. [timeout] is the longest time that a caller is kept
 * waiting for the complete answer. [latencyObjective] bounds the time to the answer or to the first event of a stream,
 * and [maximumEventGap] the time between two events. [maximumAttempts] bounds the servers that may run one request.
 */
data class GatewayRoute(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val repeatability: Repeatability,
    val services: List<WeightedService>,
    val timeout: Duration,
    val latencyObjective: Duration,
    val maximumEventGap: Duration?,
    val priority: Int,
    val maximumAttempts: Int,
    val openToAll: Boolean,
    val promptCacheAffinity: Boolean,
)
