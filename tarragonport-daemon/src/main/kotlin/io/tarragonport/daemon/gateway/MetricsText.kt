package io.tarragonport.daemon.gateway

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

/** Renders the metrics of the process in the Prometheus text format. */
internal object MetricsText {
    fun of(registry: PrometheusRegistry): String {
        val output = ByteArrayOutputStream()
        PrometheusTextFormatWriter.builder().build().write(output, registry.scrape())
        return output.toString(Charsets.UTF_8)
    }
}
