package io.tarragonport.daemon.dispatch

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.tarragonport.api.id.RequestClassId
import io.tarragonport.daemon.status.ClassCounters
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Traffic metrics by request class, registered in [registry]. */
class TrafficMetrics(
    val registry: PrometheusRegistry = PrometheusRegistry(),
) {
    /** Outcomes by class, reported in the VM status. */
    val classes = ClassCounters()

    private val firstToken = histogram("first_token_seconds", "Arrival to first token.", *FIRST_TOKEN_BOUNDS)
    private val betweenTokens = histogram("between_tokens_seconds", "Time between tokens.", *BETWEEN_BOUNDS)
    private val queue = histogram("queue_seconds", "Arrival to the start on a backend server.", *FIRST_TOKEN_BOUNDS)
    private val outcomes = counter("requests", "Requests by outcome.", "class", "outcome")
    private val retries = counter("retries", "Runs beyond the first, by cause.", "cause")
    private val tokens = counter("generated_tokens", "Tokens received from engines.", "class")

    fun firstToken(
        requestClass: RequestClassId,
        elapsed: Duration,
    ) = firstToken.labelValues(requestClass.value).observe(elapsed.toDouble(DurationUnit.SECONDS))

    fun betweenTokens(
        requestClass: RequestClassId,
        elapsed: Duration,
    ) = betweenTokens.labelValues(requestClass.value).observe(elapsed.toDouble(DurationUnit.SECONDS))

    fun queued(
        requestClass: RequestClassId,
        elapsed: Duration,
    ) = queue.labelValues(requestClass.value).observe(elapsed.toDouble(DurationUnit.SECONDS))

    /** Counts a request that ended; [requestClass] is null if it was refused before its class was known. */
    fun ended(
        requestClass: RequestClassId?,
        outcome: String,
    ) = outcomes.labelValues(requestClass?.value ?: "none", outcome).inc()

    fun retried(cause: String) = retries.labelValues(cause).inc()

    fun token(requestClass: RequestClassId) = tokens.labelValues(requestClass.value).inc()

    private fun histogram(
        name: String,
        help: String,
        vararg bounds: Double,
    ): Histogram =
        Histogram
            .builder()
            .name("tarragonport_$name")
            .help(help)
            .labelNames("class")
            .classicOnly()
            .classicUpperBounds(*bounds)
            .register(registry)

    private fun counter(
        name: String,
        help: String,
        vararg labels: String,
    ): Counter =
        Counter
            .builder()
            .name("tarragonport_$name")
            .help(help)
            .labelNames(*labels)
            .register(registry)

    companion object {
        private val FIRST_TOKEN_BOUNDS =
            doubleArrayOf(0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.8, 1.3, 2.0, 5.0, 10.0, 30.0)
        private val BETWEEN_BOUNDS =
            doubleArrayOf(0.001, 0.0025, 0.005, 0.01, 0.02, 0.036, 0.05, 0.1, 0.25, 1.0)
    }
}
