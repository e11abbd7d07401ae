package io.tarragonport.api.gateway

import kotlin.time.Duration

/**
 * A route for the requests to one host and path prefix.
 *
 * [priority] is the rank among all requests; 0 is served first. [timeout] is the maximum time to the complete response.
 * [latencyObjective] is the objective for the time to the response or to the first event of a stream, and
 * [maximumEventGap] for the time between two events. [maximumAttempts] is the maximum number of servers that may run
 * one request. [openToAll] permits callers without a key. [promptCacheAffinity] is set if requests benefit from a model
 * engine that has parts of their prompt in its cache.
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
