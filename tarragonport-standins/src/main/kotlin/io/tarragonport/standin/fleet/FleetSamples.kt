package io.tarragonport.standin.fleet

import io.tarragonport.wire.ConfigurationWire
import io.tarragonport.wire.LimitsWire
import io.tarragonport.wire.RouteWire
import io.tarragonport.wire.ServerWire
import io.tarragonport.wire.ServiceWire
import io.tarragonport.wire.TenantWire

/** Sample configuration of a small deployment: a plain service, a streaming service and two organisations. */
object FleetSamples {
    const val HOST = "calls.example"
    const val KEY = "key-one"
    const val OTHER_KEY = "key-two"
    const val PLAIN = "plain"
    const val STREAMS = "streams"

    /** The configuration with [version], in which the first organisation has the API keys [keys]. */
    fun configuration(
        version: Long = 1,
        keys: List<String> = listOf(KEY),
        routes: List<RouteWire> = routes(),
    ) = ConfigurationWire(
        version = version,
        routes = routes,
        services = listOf(ServiceWire(PLAIN, "/health", 100), ServiceWire(STREAMS, "/health", 100)),
        limits = LimitsWire(8_192, 65_536, 1_000, 5_000),
        tenants = listOf(TenantWire("one", keys), TenantWire("two", listOf(OTHER_KEY))),
    )

    /** Routes of each type, one of them resumable and one public. */
    fun routes(): List<RouteWire> =
        listOf(
            route("/read/", "idempotent", PLAIN),
            route("/post/", "non_idempotent", PLAIN),
            route("/chat/", "streaming", STREAMS),
            route("/resume/", "streaming", STREAMS).copy(resumable = true),
            route("/open/", "idempotent", PLAIN).copy(public = true),
        )

    /** A route from [prefix] to [service]. */
    fun route(
        prefix: String,
        type: String,
        service: String,
    ) = RouteWire(
        name = "route-$prefix",
        host = HOST,
        pathPrefix = prefix,
        routeType = type,
        timeoutMs = ROUTE_TIMEOUT_MS,
        targetLatencyMs = 200.0,
        service = service,
        maxAttempts = 2,
        gapAimMs = 200.0,
    )

    /** The store entry of a backend server of [service] at [address]. */
    fun entry(
        service: String,
        address: String,
        state: String = "ready",
    ) = ServerWire(service, address, "a", SLOTS, state, born = 1)

    private const val ROUTE_TIMEOUT_MS = 3_000L
    private const val SLOTS = 6
}
