package io.tarragonport.daemon.gateway.control

import io.tarragonport.api.settings.GatewaySettings
import io.tarragonport.core.gateway.registry.ServerRegistry
import io.tarragonport.core.gateway.usage.WindowMeter
import io.tarragonport.daemon.gateway.exchange.TrafficState
import io.tarragonport.daemon.gateway.exchange.UsageSink
import io.tarragonport.platform.PlatformHttp
import io.tarragonport.platform.PlatformTimeouts
import io.tarragonport.wire.ConfigurationDecoder
import io.tarragonport.wire.NativeObjectStore
import io.tarragonport.wire.ServerDecoder
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import java.util.concurrent.Executors
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Everything that runs on the control thread: following the store and the duties of a lease holder.
 *
 * [onTraffic] runs a task on the traffic thread, in the order of the calls.
 */
internal class ControlPart(
    private val settings: GatewaySettings,
    clock: TimeSource.WithComparableMarks,
    private val log: ControlLog,
    private val onTraffic: ((TrafficState) -> Unit) -> Unit,
) {
    private val executor = Executors.newSingleThreadExecutor { Thread(it, "control").apply { isDaemon = true } }
    private val dispatcher = executor.asCoroutineDispatcher()
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)
    private val http = PlatformHttp(settings.platformUrl, STORE_TIMEOUTS)
    private val store = NativeObjectStore(http)
    private val meter = WindowMeter(settings.usageWindowSeconds.seconds)
    private val configuration =
        ConfigurationFollower(log) { next ->
            onTraffic {
                it.configuration = next
                it.board.configure(next.content.services)
                it.dispatchWaiting()
            }
        }
    private val servers =
        ServerFollower(ServerRegistry(clock), log) { registered ->
            serversKnown = true
            onTraffic { state ->
                state.board.update(registered).forEach(state.pools::ended)
                state.dispatchWaiting()
            }
        }
    private val configurationWatch = KindWatch(ConfigurationDecoder.PREFIX, store, clock, log, configuration)
    private val serverWatch = KindWatch(ServerDecoder.PREFIX, store, clock, log, servers)

    /** Where the traffic thread counts requests that began to run. */
    val usage = UsageSink { organisation -> meter.began(organisation, Clock.System.now()) }

    /** Whether the backend servers have been listed. */
    @Volatile
    var serversKnown = false
        private set

    /** Begins to follow the store. */
    fun start() {
        scope.launch { configurationWatch.run() }
        scope.launch { serverWatch.run() }
        scope.launch { servers.expireMissing() }
    }

    /** Ends all control work. */
    suspend fun stop() {
        scope.cancel()
        http.close()
        executor.shutdown()
    }

    private companion object {
        /** The store answers in milliseconds; a slow one needs up to half a second. */
        val STORE_TIMEOUTS =
            PlatformTimeouts(connect = 500.milliseconds, call = 1.5.seconds, watchSlack = 1.seconds)
    }
}
