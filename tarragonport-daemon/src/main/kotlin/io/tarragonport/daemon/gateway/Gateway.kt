package io.tarragonport.daemon.gateway

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.util.concurrent.DefaultThreadFactory
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.tarragonport.api.gateway.CallerLimits
import io.tarragonport.api.settings.GatewaySettings
import io.tarragonport.daemon.gateway.control.ControlModule
import io.tarragonport.daemon.gateway.exchange.GatewayEvents
import io.tarragonport.daemon.gateway.exchange.GatewayMetrics
import io.tarragonport.daemon.gateway.exchange.GatewayRequestHandler
import io.tarragonport.daemon.gateway.exchange.InstrumentedRequestLog
import io.tarragonport.daemon.gateway.exchange.TrafficGauges
import io.tarragonport.daemon.gateway.exchange.TrafficState
import io.tarragonport.daemon.gateway.ingress.FrontendServer
import io.tarragonport.daemon.gateway.ingress.StatusResponse
import io.tarragonport.daemon.gateway.ingress.StatusServer
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * The gateway process, with one traffic thread and one control thread.
 *
 * The traffic thread owns all connections and [TrafficState]. The control thread watches the platform's object store
 * and passes new versions to the traffic thread. The process is ready once it has a configuration and a listing of the
 * backend servers.
 */
class Gateway(
    private val settings: GatewaySettings,
) {
    @Volatile
    private var activeSettings = settings
    private val clock = TimeSource.Monotonic
    private val group =
        MultiThreadIoEventLoopGroup(1, DefaultThreadFactory("traffic"), NioIoHandler.newFactory())
    private val loop = group.next()
    private val registry = PrometheusRegistry()
    private val log = InstrumentedRequestLog(GatewayMetrics(registry), clock)
    private val control = ControlModule(settings, clock, log::logEvent) { task -> loop.execute { task(state) } }
    private val state: TrafficState =
        TrafficState(settings, loop, clock, log, control.usage, control.crashSharing, control.loadQuestions)
    private val requestHandler = GatewayRequestHandler(state)
    private val frontend =
        FrontendServer(loop, requestHandler) {
            state.configuration?.content?.limits
                ?: UNCONFIGURED_LIMITS
        }
    private val statusServer = StatusServer(loop, ::status)

    init {
        TrafficGauges(registry) { state }
    }

    /**
     * Opens the listening sockets and starts watching the object store. The readiness address comes last, so that a
     * process that cannot accept callers never reports that it is ready. Throws [java.io.IOException] if an address is
     * in use.
     */
    fun start() {
        frontend.start(settings.callerAddress)
        statusServer.start("${settings.ip}:${settings.metricsPort}")
        statusServer.start(settings.readinessAddress)
        control.start()
        log.logEvent(
            GatewayEvents.GATEWAY_STARTED,
            "vm" to settings.vmId,
            "caller_address" to settings.callerAddress,
            "readiness_address" to settings.readinessAddress,
        )
    }

    /**
     * Shuts down gracefully. The process first reports that it is not ready and keeps accepting connections, because
     * the platform removes it only after two such responses. It then closes idle connections and waits for requests in
     * flight to complete. A request that arrives meanwhile is refused unless its deadline is before the end of the
     * process. What is not complete at the end gets an error response, so that no caller is left without one.
     */
    suspend fun stop() {
        log.logEvent(GatewayEvents.GATEWAY_DRAINING, "seconds" to activeSettings.stopSeconds)
        val shutdownTime = activeSettings.stopSeconds.seconds - STOP_RESERVE
        loop.execute { state.draining = true }
        val acceptTime = minOf(ACCEPT_AFTER_STOP_SIGNAL, shutdownTime / 2)
        delay(acceptTime)
        val remaining = shutdownTime - acceptTime - RESPONSE_TIME
        loop.execute {
            state.endsAt = clock.markNow() + remaining
            frontend.stop()
            requestHandler.closeConnections()
        }
        val finished = withTimeoutOrNull(remaining) { awaitRequests() }
        if (finished == null) {
            loop.execute(requestHandler::endRequests)
            withTimeoutOrNull(RESPONSE_TIME) { awaitRequests() }
        }
        control.stop()
        log.logEvent(GatewayEvents.GATEWAY_STOPPED, "complete" to (finished != null))
    }

    /**
     * Applies changed settings. Retry limits and the shutdown time change immediately; addresses, leases and usage
     * windows keep their initial values, because connections and the other VMs depend on them.
     */
    fun reload(changed: GatewaySettings) {
        val previous = activeSettings
        activeSettings = changed
        loop.execute { state.settings = changed }
        log.logEvent(GatewayEvents.SETTINGS_RELOADED, "changed" to (changed != previous))
    }

    /** Logs that the changed settings file is invalid or unreadable; the current settings remain active. */
    fun reloadFailed(errors: List<String>) = log.logEvent(GatewayEvents.SETTINGS_REJECTED, "faults" to errors)

    private suspend fun awaitRequests() {
        while (loop.submit<Boolean> { requestHandler.busy }.get()) {
            delay(STOP_POLL)
        }
    }

    private fun status(path: String): StatusResponse =
        when (path) {
            "/readyz" -> if (ready()) StatusResponse(OK, "ready\n") else StatusResponse(UNAVAILABLE, "not ready\n")
            "/metrics" -> StatusResponse(OK, MetricsText.of(registry))
            else -> StatusResponse(NOT_FOUND, "not found\n")
        }

    private fun ready(): Boolean = state.configuration != null && control.serversListed && !state.draining

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503
        const val NOT_FOUND = 404

        /** Limits until the first configuration is applied; requests are refused until then anyway. */
        val UNCONFIGURED_LIMITS = CallerLimits(16_384, 4 * 1024 * 1024, 3.seconds, 15.seconds)

        /**
         * Time after the stop signal for which connections are still accepted. The platform probes readiness once a
         * second and removes a process after two failed probes.
         */
        val ACCEPT_AFTER_STOP_SIGNAL: Duration = 2.5.seconds

        /** Part of the shutdown time reserved for releasing leases and ending the process. */
        val STOP_RESERVE: Duration = 800.milliseconds

        /** Time for the last responses to reach their callers. */
        val RESPONSE_TIME: Duration = 100.milliseconds
        val STOP_POLL: Duration = 20.milliseconds
    }
}
