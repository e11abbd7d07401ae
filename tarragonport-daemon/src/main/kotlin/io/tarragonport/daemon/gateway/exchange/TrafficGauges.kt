package io.tarragonport.daemon.gateway.exchange

import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Metrics that are read from the traffic state when they are asked for, on the traffic thread. */
internal class TrafficGauges(
    registry: PrometheusRegistry,
    private val state: () -> TrafficState,
) {
    init {
        GaugeWithCallback
            .builder()
            .name("gateway_waiting_requests")
            .help("Requests that wait for a server, by organisation")
            .labelNames("organisation")
            .callback { callback ->
                state().queue.waitingByOrganisation().forEach { (organisation, count) ->
                    callback.call(count.toDouble(), organisation?.value.orEmpty())
                }
            }.register(registry)
        GaugeWithCallback
            .builder()
            .name("gateway_server_pace_limit")
            .help("Requests that this VM may have in flight at a server whose pace is limited")
            .labelNames("server")
            .callback { callback ->
                state().serverTable.all.forEach { server ->
                    server.pace.limit?.let { callback.call(it, server.registered.id.value) }
                }
            }.register(registry)
        GaugeWithCallback
            .builder()
            .name("gateway_server_in_flight")
            .help("Requests in flight at a server, of this VM and of the others as last known")
            .labelNames("server", "vms")
            .callback { callback ->
                state().serverTable.all.filter { it.totalInFlight > 0 }.forEach { server ->
                    callback.call(server.inFlight.toDouble(), server.registered.id.value, "own")
                    callback.call(server.otherVmLoad.inFlight.toDouble(), server.registered.id.value, "others")
                }
            }.register(registry)
        CounterWithCallback
            .builder()
            .name("gateway_load_questions_total")
            .help("Questions for the load at servers, by whether all answers came in time")
            .labelNames("answered")
            .callback { callback ->
                callback.call(state().answeredQuestions.toDouble(), "yes")
                callback.call(state().unansweredQuestions.toDouble(), "no")
            }.register(registry)
    }
}
