package io.tarragonport.daemon.gateway.exchange

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Counters and histograms of the gateway. */
internal class GatewayMetrics(
    registry: PrometheusRegistry,
) {
    /** Requests by outcome and route. */
    val requests: Counter =
        Counter
            .builder()
            .name("gateway_requests_total")
            .help("Requests by route and outcome")
            .labelNames("route", "outcome")
            .register(registry)

    /** Time from the complete request to the end of its response. */
    val duration: Histogram =
        Histogram
            .builder()
            .name("gateway_request_seconds")
            .help("Time from a complete request to the end of its answer")
            .classicOnly()
            .labelNames("route")
            .register(registry)

    /** Events by name, including those whose log line was dropped. */
    val events: Counter =
        Counter
            .builder()
            .name("gateway_events_total")
            .help("Numbered log events, logged or dropped")
            .labelNames("event")
            .register(registry)

    /** Lines dropped because more than [LogRateLimiter.LINES_PER_SECOND] were logged in one second. */
    val droppedLines: Counter =
        Counter
            .builder()
            .name("gateway_log_lines_dropped_total")
            .help("Log lines over the bound of the volume")
            .register(registry)
}
