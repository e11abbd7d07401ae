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

    /** Time from the complete request to the end of its answer. */
    val duration: Histogram =
        Histogram
            .builder()
            .name("gateway_request_seconds")
            .help("Time from a complete request to the end of its answer")
            .classicOnly()
            .labelNames("route")
            .register(registry)

    /** Events by number, also those whose log line was dropped. */
    val events: Counter =
        Counter
            .builder()
            .name("gateway_events_total")
            .help("Numbered log events, logged or dropped")
            .labelNames("event")
            .register(registry)

    /** Lines that were not written because more than [LineBudget.LINES_PER_SECOND] were due or the queue was full. */
    val droppedLines: Counter =
        Counter
            .builder()
            .name("gateway_log_lines_dropped_total")
            .help("Log lines over the bound of the volume")
            .register(registry)
}
