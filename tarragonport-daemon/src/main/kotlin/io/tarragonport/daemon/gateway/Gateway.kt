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
import io.tarragonport.daemon.gateway.exchange.MeasuringRequestLog
import io.tarragonport.daemon.gateway.exchange.TrafficState
import io.tarragonport.daemon.gateway.ingress.FrontendServer
import io.tarragonport.daemon.gateway.ingress.StatusAnswer
import io.tarragonport.daemon.gateway.ingress.StatusServer
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * The gateway process: one thread for traffic, one for control.
 *
 * The traffic thread owns all connections and [TrafficState]; the control thread follows the platform's store and hands
 * over new versions. The process is ready when it has a configuration and a listing of the backend servers.
 */
class Gateway(
    private val settings: GatewaySettings,
) {
    @Volatile
    private var inForce = settings
    private val clock = TimeSource.Monotonic
    private val group =
        MultiThreadIoEventLoopGroup(1, DefaultThreadFactory("traffic"), NioIoHandler.newFactory())
    private val loop = group.next()
    private val registry = PrometheusRegistry()
    private val log = MeasuringRequestLog(GatewayMetrics(registry), clock)
    private val control = ControlModule(settings, clock, log::logEvent) { task -> loop.execute { task(state) } }
    private val state: TrafficState = TrafficState(settings, loop, clock, log, control.usage)
    private val intake = GatewayRequestHandler(state)
    private val frontend = FrontendServer(loop, intake) { state.configuration?.content?.limits ?: UNCONFIGURED_LIMITS }
    private val status = StatusServer(loop, ::status)

    /** Listens and begins to follow the store. */
    fun start() {
        control.start()
        status.start(settings.readinessAddress)
        status.start("${settings.ip}:${settings.metricsPort}")
        frontend.start(settings.callerAddress)
        log.logEvent(
            GatewayEvents.GATEWAY_STARTED,
            "vm" to settings.vmId,
            "caller_address" to settings.callerAddress,
            "readiness_address" to settings.readinessAddress,
        )
    }

    /**
     * Stops without cutting a request: first the process says that it is not ready and goes on accepting, because the
     * platform needs two answers to notice; then it closes idle connections and waits for running requests.
     */
    suspend fun stop() {
        log.logEvent(GatewayEvents.GATEWAY_DRAINING, "seconds" to inForce.stopSeconds)
        val total = inForce.stopSeconds.seconds - STOP_RESERVE
        loop.execute { state.draining = true }
        delay(minOf(ACCEPT_AFTER_STOP, total / 2))
        loop.execute {
            frontend.stop()
            intake.finishConnections()
        }
        val finished = withTimeoutOrNull(total - minOf(ACCEPT_AFTER_STOP, total / 2)) { awaitRequests() }
        control.stop()
        log.logEvent(GatewayEvents.GATEWAY_STOPPED, "complete" to (finished != null))
    }

    /**
     * Takes changed settings. The bounds of retries and the time to stop change at once; addresses, leases and usage
     * windows stay those of the start, because connections and the other VMs rely on them.
     */
    fun reload(changed: GatewaySettings) {
        val before = inForce
        inForce = changed
        loop.execute { state.settings = changed }
        log.logEvent(GatewayEvents.SETTINGS_RELOADED, "changed" to (changed != before))
    }

    /** The settings file could not be used. */
    fun reloadFailed(faults: List<String>) = log.logEvent(GatewayEvents.SETTINGS_REJECTED, "faults" to faults)

    private suspend fun awaitRequests() {
        while (loop.submit<Boolean> { intake.busy }.get()) {
            delay(STOP_POLL)
        }
    }

    private fun status(path: String): StatusAnswer =
        when (path) {
            "/readyz" -> if (ready()) StatusAnswer(OK, "ready\n") else StatusAnswer(UNAVAILABLE, "not ready\n")
            "/metrics" -> StatusAnswer(OK, MetricsText.of(registry))
            else -> StatusAnswer(NOT_FOUND, "not found\n")
        }

    private fun ready(): Boolean = state.configuration != null && control.serversKnown && !state.draining

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503
        const val NOT_FOUND = 404

        /** Limits before the first configuration: requests are refused anyway. */
        val UNCONFIGURED_LIMITS = CallerLimits(16_384, 4 * 1024 * 1024, 3.seconds, 15.seconds)

        /** The platform asks once a second and takes a process out after two answers. */
        val ACCEPT_AFTER_STOP: Duration = 2.5.seconds

        /** Time kept for releasing leases and ending the process. */
        val STOP_RESERVE: Duration = 800.milliseconds
        val STOP_POLL: Duration = 20.milliseconds
    }
}
